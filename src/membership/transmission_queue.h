#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace waxwing {

/// Keys of values that are still to be sent along with datagrams, those sent least often first.
template<typename Key>
class transmission_queue
{
public:
    /// Queues a key as never sent, also if it is queued already.
    void add(const Key &key)
    {
        remove(key);
        insert(key, 0);
    }

    /// Removes a key.
    void remove(const Key &key)
    {
        const auto found = m_sent.find(key);
        if (found == m_sent.end())
            return;
        m_order.erase({found->second, key});
        m_sent.erase(found);
    }

    /// Passes keys to `send` until it returns false, which means that the datagram is full. Keys
    /// sent `limit` times leave the queue.
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
