#pragma once

#include "core/clock.h"
#include "core/strong_id.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace waxwing {

/// Policy of `admission_control`.
struct admission_settings
{
    /// Searches in progress that a service may always have, before its pace is known.
    std::size_t alwaysAdmitted = 32;
    /// Searches in progress of all services together; bounds the memory of the host.
    std::size_t maxInProgress = 4000;
    /// Share of the deadline that the estimated wait may take.
    double waitShare = 0.8;
    /// Weight of a new sample in the estimated service time.
    double smoothing = 0.05;

    bool operator==(const admission_settings &) const = default;
};

/// Why a search is not admitted.
struct admission_refusal
{
    /// Whether the caller is over its own share; otherwise the service is overloaded.
    bool callerOverShare = false;
    /// Estimated time until there is room.
    std::chrono::milliseconds retryAfter{1000};

    bool operator==(const admission_refusal &) const = default;
};

/// Refuses searches that would not be answered in time, and shares a busy service fairly between
/// its callers.
class admission_control
{
public:
    explicit admission_control(admission_settings settings);

    /// Counts the search as in progress, or says why it is refused.
    std::optional<admission_refusal> admit(const service_id &service, const std::string &caller,
                                           duration timeLeft);
    /// The search ended. `elapsed` is set if it was answered and tells the pace of the service.
    void release(const service_id &service, const std::string &caller,
                 std::optional<duration> elapsed);
    /// Searches in progress.
    std::size_t inProgress() const { return m_inProgress; }

private:
    struct load
    {
        std::size_t inProgress = 0;
        std::map<std::string, std::size_t> byCaller;
        /// Averages over answered searches: time, and searches in progress at their end.
        double meanSeconds = 0;
        double meanConcurrency = 0;
    };

    bool isOverShare(const load &target, const std::string &caller, std::size_t limit) const;
    std::size_t limitOf(const load &target, duration timeLeft) const;

    admission_settings m_settings;
    std::size_t m_inProgress = 0;
    std::map<service_id, load> m_services;
};

} // namespace waxwing
