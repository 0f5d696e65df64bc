#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace waxwing {

/// Keys of values to piggyback on datagrams, ordered by the number of transmissions, lowest first.
template<typename Key>
class transmission_queue
{
public:
    /// Queues a key with a transmission count of 0, even if it is already queued.
    void add(const Key &key)
    {
        remove(key);
        insert(key, 0);
    }

    void remove(const Key &key)
    {
        const auto found = m_sent.find(key);
        if (found == m_sent.end())
            return;
        m_order.erase({found->second, key});
        m_sent.erase(found);
    }

    /// Passes keys to `send` until it returns false, which means that the datagram is full. Removes
    /// keys that were sent `limit` times.
    template<typename Send>
    void take(std::uint32_t limit, Send send)
    {
        std::vector<std::pair<std::uint32_t, Key>> taken;
        for (const auto &entry : m_order) {
            if (!send(entry.second))
                break;
            taken.push_back(entry);
        }
        for (const auto &[sent, key] : taken) {
            remove(key);
            if (sent + 1 < limit)
                insert(key, sent + 1);
        }
    }

    /// Number of queued keys.
    std::size_t size() const { return m_sent.size(); }

private:
    void insert(const Key &key, std::uint32_t sent)
    {
        m_sent.emplace(key, sent);
        m_order.emplace(sent, key);
    }

    std::map<Key, std::uint32_t> m_sent;
    std::set<std::pair<std::uint32_t, Key>> m_order;
};

} // namespace waxwing
