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
    /// Searches in progress that a service may always have, whatever its estimated wait.
    std::size_t alwaysAdmitted = 32;
    /// Maximum searches in progress of all services together; bounds the memory of the host.
    std::size_t maxInProgress = 4000;
    /// Fraction of the time left until the deadline that the estimated wait may take.
    double waitShare = 0.8;
    /// Weight of a new sample in the moving averages of search time and concurrency.
    double smoothing = 0.05;

    bool operator==(const admission_settings &) const = default;
};

/// Reason why a search is refused, and when to retry.
struct admission_refusal
{
    /// Whether the caller exceeds its fair share; otherwise the service or the host is overloaded.
    bool callerOverShare = false;
    /// Estimated time until a search can be admitted; at least 1 s.
    std::chrono::milliseconds retryAfter{1000};

    bool operator==(const admission_refusal &) const = default;
};

/// Refuses searches that are expected to miss their deadline, and divides the capacity of a busy
/// service fairly between its callers.
class admission_control
{
public:
    explicit admission_control(admission_settings settings);

    /// Counts the search as in progress, or returns the reason for refusing it. `timeLeft` is the
    /// time until the deadline; searches with an empty `caller` have no fair share.
    std::optional<admission_refusal> admit(const service_id &service, const std::string &caller,
                                           duration timeLeft);
    /// Ends an admitted search. `elapsed` is set if the search was answered, and updates the
    /// averages.
    void release(const service_id &service, const std::string &caller,
                 std::optional<duration> elapsed);
    /// Searches in progress of all services together.
    std::size_t inProgress() const { return m_inProgress; }

private:
    struct load
    {
        std::size_t inProgress = 0;
        std::map<std::string, std::size_t> byCaller;
        /// Moving averages over answered searches: their time in seconds, and the searches in
        /// progress when they ended.
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
