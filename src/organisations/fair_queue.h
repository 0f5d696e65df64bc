#pragma once

#include "core/strong_id.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

namespace waxwing {

/// Queue that organisations share by weight, whatever the number of their items: start-time fair
/// queueing with one account for each organisation. Items of one organisation are in the order of
/// `operator<`.
///
/// Accounts have a start tag, and the organisation with the lowest one is served next. Only items
/// that are served advance it, by 1 / weight, so that items that leave the queue unserved cost
/// their organisation nothing. An organisation that was without items is at most `maxCredit` items
/// behind the greatest tag served.
template<typename Item>
class fair_queue
{
public:
    /// Adds an item. `weight` applies to all items of the organisation that wait together
    /// with it.
    void add(const organisation_id &owner, double weight, const Item &item)
    {
        account &own = m_accounts.try_emplace(owner).first->second;
        if (own.items.empty()) {
            m_idle.erase({forgettableAt(own), owner});
            own.weight = usable(weight);
            activate(owner, own);
        }
        m_size += own.items.insert(item).second ? 1 : 0;
    }

    /// Removes an item that was not served. Returns whether it was in the queue.
    bool remove(const organisation_id &owner, const Item &item) { return take(owner, item, false); }

    /// Removes an item that is served now. Returns whether it was in the queue.
    bool serve(const organisation_id &owner, const Item &item) { return take(owner, item, true); }

    /// The item to serve next; empty if the queue is empty.
    std::optional<Item> first() const
    {
        if (m_active.empty())
            return std::nullopt;
        return *m_accounts.find(std::get<organisation_id>(*m_active.begin()))->second.items.begin();
    }

    /// The item to serve next among those for which `isSkipped` does not hold; empty if there is
    /// none.
    template<typename Predicate>
    std::optional<Item> firstUnless(const Predicate &isSkipped) const
    {
        for (const auto &[tag, sequence, owner] : m_active) {
            const std::set<Item> &items = m_accounts.find(owner)->second.items;
            const auto next = std::find_if_not(items.begin(), items.end(), isSkipped);
            if (next != items.end())
                return *next;
        }
        return std::nullopt;
    }

    /// Number of items for which `isSkipped` does not hold.
    template<typename Predicate>
    std::size_t count(const Predicate &isSkipped) const
    {
        std::size_t result = 0;
        for (const auto &[tag, sequence, owner] : m_active)
            result += count(m_accounts.find(owner)->second.items, isSkipped);
        return result;
    }

    /// Number of items that are served before a new one of the organisation, if no others come.
    std::size_t countAhead(const organisation_id &owner, double weight) const
    {
        return countAhead(owner, weight, [](const Item & /*item*/) { return false; });
    }

    /// The same, without the items for which `isSkipped` holds.
    template<typename Predicate>
    std::size_t countAhead(const organisation_id &owner, double weight,
                           const Predicate &isSkipped) const
    {
        const auto known = m_accounts.find(owner);
        const bool isKnown = known != m_accounts.end();
        const std::size_t own = isKnown ? count(known->second.items, isSkipped) : 0;
        const double earliest = m_now - maxCredit / usable(weight);
        const double start = (isKnown ? std::max(known->second.startTag, earliest) : earliest)
            + static_cast<double>(own) / usable(weight);
        std::size_t result = own;
        for (const auto &[tag, sequence, id] : m_active) {
            if (tag > start)
                break;
            if (id == owner)
                continue;
            // Without the tolerance, rounding could leave out an item with the same tag.
            constexpr double tolerance = 1e-9;
            const account &other = m_accounts.find(id)->second;
            const double served = std::floor((start - tag) * other.weight + tolerance) + 1;
            const auto waiting = static_cast<double>(count(other.items, isSkipped));
            result += static_cast<std::size_t>(std::min(served, waiting));
        }
        return result;
    }

    /// Number of items.
    std::size_t size() const { return m_size; }
    /// Whether the queue is empty and remembers no more than it would know if it were new.
    bool isForgettable() const { return m_size == 0 && m_idle.size() <= 1; }
    /// Number of organisations that the queue has an account of.
    std::size_t accounts() const { return m_accounts.size(); }

    /// Items by which an organisation may be behind its share and make up for it. Items wait for
    /// fractions of a second, so that an organisation within its share often has none in the queue.
    /// Without credit, one that always has items got 2.5 times its share in simulated hosts.
    static constexpr double maxCredit = 8;
    /// Accounts of organisations without items that are kept, about 100 bytes each. Beyond this,
    /// those with the most credit are replaced by new ones with full credit.
    static constexpr std::size_t maxIdleAccounts = 256;

private:
    /// Bounds on weights, so that tags remain exact and one item cannot bar an organisation.
    static constexpr double minWeight = 1e-3;
    static constexpr double maxWeight = 1e6;

    template<typename Predicate>
    static std::size_t count(const std::set<Item> &items, const Predicate &isSkipped)
    {
        return static_cast<std::size_t>(
            std::count_if(items.begin(), items.end(),
                          [&isSkipped](const Item &each) { return !isSkipped(each); }));
    }

    static double usable(double weight)
    {
        // Also replaces a weight that is no number.
        return weight > minWeight ? std::min(weight, maxWeight) : minWeight;
    }

    struct account
    {
        double weight = 1;
        /// Tag of the next item.
        double startTag = std::numeric_limits<double>::lowest();
        /// Sequence number in `m_active`.
        std::uint64_t sequence = 0;
        std::set<Item> items;
    };
    /// Start tag, sequence number that keeps the order of accounts with the same tag, and owner.
    using position = std::tuple<double, std::uint64_t, organisation_id>;

    /// Virtual time from which the account is no different from a new one.
    static double forgettableAt(const account &own)
    {
        return own.startTag + maxCredit / own.weight;
    }

    void activate(const organisation_id &owner, account &own)
    {
        own.startTag = std::max(own.startTag, m_now - maxCredit / own.weight);
        own.sequence = ++m_lastSequence;
        m_active.emplace(own.startTag, own.sequence, owner);
    }

    bool take(const organisation_id &owner, const Item &item, bool isServed)
    {
        const auto known = m_accounts.find(owner);
        if (known == m_accounts.end() || known->second.items.erase(item) == 0)
            return false;
        --m_size;
        account &own = known->second;
        if (!isServed && !own.items.empty())
            return true;
        m_active.erase({own.startTag, own.sequence, owner});
        if (isServed) {
            m_now = std::max(m_now, own.startTag);
            own.startTag += 1 / own.weight;
        }
        if (own.items.empty())
            m_idle.emplace(forgettableAt(own), owner);
        else
            activate(owner, own);
        forgetIdle();
        return true;
    }

    /// Drops accounts that are no different from new ones, and the earliest beyond the limit.
    void forgetIdle()
    {
        while (!m_idle.empty()
               && (m_idle.begin()->first <= m_now || m_idle.size() > maxIdleAccounts)) {
            m_accounts.erase(m_idle.begin()->second);
            m_idle.erase(m_idle.begin());
        }
    }

    absl::flat_hash_map<organisation_id, account> m_accounts;
    /// Accounts with items, in the order in which they are served.
    std::set<position> m_active;
    /// Accounts without items, by `forgettableAt`.
    std::set<std::pair<double, organisation_id>> m_idle;
    /// Greatest start tag of the items served.
    double m_now = 0;
    std::uint64_t m_lastSequence = 0;
    std::size_t m_size = 0;
};

} // namespace waxwing
