#pragma once

#include <absl/status/statusor.h>

#include <array>
#include <cstddef>
#include <functional>
#include <string_view>
#include <vector>

namespace waxwing {

/// What bytes are held for, the least valuable first: work that was not begun goes before answers
/// that have cost a server its time, and callers before what the whole fleet needs.
enum class memory_use {
    /// Requests of callers, from their first byte to their answer.
    Callers,
    /// Answers that callers have not taken.
    Answers,
    /// Requests to backend servers and their responses.
    Servers,
    /// Messages of other hosts and to them.
    Hosts,
    /// Answers of the store.
    Store,
};

/// Number of values of `memory_use`.
inline constexpr std::size_t memoryUseCount = 5;
/// All values, in order.
inline constexpr std::array<memory_use, memoryUseCount> allMemoryUses{
    memory_use::Callers, memory_use::Answers, memory_use::Servers, memory_use::Hosts,
    memory_use::Store};

/// Name of a use in metrics and logs.
std::string_view toString(memory_use use);

/// Parts of a budget that one use can have, as fractions of the whole.
struct memory_share
{
    /// Part that no other use can take.
    double reserved = 0;
    /// Largest part, if other uses leave it.
    double most = 1;

    bool operator==(const memory_share &) const = default;
};

/// Size of a `memory_budget` and how it is divided.
struct memory_budget_settings
{
    /// All bytes that may be held.
    std::size_t bytes = std::size_t{128} * 1024 * 1024;
    /// Shares in the order of `memory_use`. The reserved parts leave half for those who need it.
    std::array<memory_share, memoryUseCount> shares{
        {{0.10, 0.50}, {0.10, 0.50}, {0.15, 0.70}, {0.05, 0.30}, {0.05, 0.30}}};

    bool operator==(const memory_budget_settings &) const = default;
};

/// Counts the bytes that a process holds for others, by use.
///
/// A use may hold what is reserved for it, and more while the rest of the budget has room and its
/// largest share is not reached. If there is no room, bytes are released in the order of
/// `memory_use`, up to the use that needs them: what is worth more never makes room for less.
class memory_budget
{
public:
    /// Releases at least the given number of bytes of one use if that is possible, by `setHeld` of
    /// the holder or by its end.
    using reclaimer = std::function<void(std::size_t bytes)>;

    /// Fails with InvalidArgument if the shares cannot hold.
    static absl::StatusOr<memory_budget> create(const memory_budget_settings &settings);

    /// Size and division.
    const memory_budget_settings &settings() const { return m_settings; }
    /// Bytes held for a use.
    std::size_t held(memory_use use) const { return m_held[indexOf(use)]; }
    /// Bytes held for all uses.
    std::size_t held() const;
    /// Bytes that a use could hold in addition.
    std::size_t room(memory_use use) const;
    /// Adds something that can release bytes of a use. It must outlive the budget, or not release
    /// anything after its end.
    void addReclaimer(memory_use use, reclaimer release);
    /// Whether all bytes that are held for a use are within the budget, after others were released
    /// for it if need be. The caller has added its bytes.
    bool makeRoom(memory_use use);

private:
    friend class memory_hold;

    explicit memory_budget(const memory_budget_settings &settings);
    static constexpr std::size_t indexOf(memory_use use) { return static_cast<std::size_t>(use); }
    std::size_t reserved(memory_use use) const;
    std::size_t most(memory_use use) const;
    /// Bytes of a use over its largest share.
    std::size_t excess(memory_use use) const;
    /// Bytes of all uses, with those that are reserved and not held, over the whole.
    std::size_t shortage() const;
    void reclaim(memory_use use, std::size_t bytes);

    memory_budget_settings m_settings;
    std::array<std::size_t, memoryUseCount> m_held{};
    std::array<std::vector<reclaimer>, memoryUseCount> m_reclaimers;
};

} // namespace waxwing
