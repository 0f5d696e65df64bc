#pragma once

#include "distribution/distribution.h"
#include "support/virtual_network.h"

#include <fmt/format.h>

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace waxwing {

/// Simulates entry hosts with `membership` and `distribution`, and a platform, on a virtual
/// network.
class distribution_world
{
public:
    struct entry_host
    {
        member self;
        membership members{membership_settings{}};
        distribution documents{distribution_settings{}};
        random_engine random;
        std::uint64_t lastAttempt = 0;
        std::uint64_t revision = 0;
        time_point tickAt = time_point::max();
    };
    using host_pointer = std::shared_ptr<entry_host>;
    using step = std::function<void(entry_host &, reduce_context &)>;

    distribution_world(std::uint64_t seed, int count) : net(seed)
    {
        history.push_back(makeCopy(1));
        hosts.resize(static_cast<std::size_t>(count));
        for (std::size_t i = 0; i < hosts.size(); ++i)
            start(i);
    }

    static std::string name(std::size_t index) { return fmt::format("h{}", index); }

    /// Starts or replaces a host; the state of the previous one is lost.
    void start(std::size_t index)
    {
        auto added = std::make_shared<entry_host>();
        added->random.seed(net.below(1U << 30U));
        added->self.host = host_id{name(index)};
        added->self.zone = zone_id{fmt::format("z{}", index % 3)};
        added->self.gossip = endpoint{"gossip", static_cast<std::uint16_t>(index)};
        added->self.peer = endpoint{"peer", static_cast<std::uint16_t>(index)};
        added->self.incarnation = ++m_incarnations;
        hosts[index] = added;
        run(index, added, [](entry_host &host, reduce_context &context) {
            host.members.start(context, host.self, {{"gossip", 0}, {"gossip", 1}});
            host.documents.start(context, {{"peer", 0}, {"peer", 1}});
        });
    }

    /// Accepts an operator's change on the platform.
    void accept()
    {
        history.push_back(makeCopy(history.back().document->revision + 1));
        const std::vector<action> waiting = std::exchange(m_watches, {});
        for (const action &each : waiting)
            each();
    }
    /// Restores an older configuration on the platform; later changes are based on it.
    void restoreOldRevision()
    {
        const std::size_t kept = 1 + net.below(static_cast<std::uint32_t>(history.size()));
        for (std::size_t i = kept; i < history.size(); ++i)
            revisionDiscarded = true;
        history.resize(kept);
    }

    /// Whether every host has the platform's current revision.
    bool allAgree() const
    {
        for (const host_pointer &each : hosts) {
            if (each->revision != history.back().document->revision)
                return false;
        }
        return true;
    }

    virtual_network net;
    std::vector<host_pointer> hosts;
    /// Accepted documents; the index is the version of the object minus one.
    std::vector<configuration_copy> history;
    bool platformDown = false;
    std::uint32_t staleReadPercent = 0;
    std::uint32_t lostAnswerPercent = 0;
    /// Whether a restore discarded a revision, so that hosts may keep a higher one.
    bool revisionDiscarded = false;
    /// How often the revision of a running host decreased.
    int decreases = 0;

private:
    using action = virtual_network::action;

    configuration_copy makeCopy(std::uint64_t revision)
    {
        auto document = std::make_shared<configuration>();
        document->revision = revision;
        return {document, fmt::format("{}-{}", revision, ++m_digests), m_digests};
    }

    void later(std::size_t index, const host_pointer &host, duration delay, step what)
    {
        net.after(std::max(duration(0), delay), name(index),
                  [this, index, host, what = std::move(what)] {
                      if (hosts[index] == host)
                          run(index, host, what);
                  });
    }

    void run(std::size_t index, const host_pointer &host, const step &what)
    {
        effect_list effects;
        reduce_context context{net.now(), net.wallNow(), host->random, host->lastAttempt, effects};
        what(*host, context);
        const auto &current = host->documents.current();
        const std::uint64_t revision = current.document != nullptr ? current.document->revision : 0;
        decreases += revision < host->revision ? 1 : 0;
        if (revision != host->revision)
            host->members.setConfiguration(revision, current.digest);
        host->revision = revision;
        for (const effect &each : effects)
            carryOut(index, host, each);
        scheduleTick(index, host);
    }

    void scheduleTick(std::size_t index, const host_pointer &host)
    {
        const auto due = std::min(host->members.nextDeadline().value_or(time_point::max()),
                                  host->documents.nextDeadline().value_or(time_point::max()));
        if (due >= host->tickAt)
            return;
        host->tickAt = due;
        later(index, host, due - net.now(), [](entry_host &on, reduce_context &context) {
            on.tickAt = time_point::max();
            if (on.members.nextDeadline() <= context.now)
                on.members.onTick(context);
            on.documents.onTick(context, on.members);
        });
    }

    void carryOut(std::size_t index, const host_pointer &host, const effect &each)
    {
        if (const auto *datagram = std::get_if<send_datagram>(&each))
            deliver(index, host, *datagram);
        else if (const auto *fetch = std::get_if<fetch_peer_state>(&each))
            fetchState(index, host, *fetch);
        else if (const auto *call = std::get_if<call_platform>(&each))
            callPlatform(index, host, *call);
    }

    void deliver(std::size_t index, const host_pointer &host, const send_datagram &datagram)
    {
        const std::size_t to = datagram.to.port;
        net.send(name(index), name(to),
                 [this, to, from = host->self.gossip, message = datagram.message] {
                     run(to, hosts[to], [&](entry_host &on, reduce_context &context) {
                         on.members.onDatagram(context, from, message);
                         on.documents.onAnnouncement(context, message.sender,
                                                     message.configurationDigest);
                     });
                 });
    }

    void fetchState(std::size_t index, const host_pointer &host, const fetch_peer_state &fetch)
    {
        const std::size_t to = fetch.peer.port;
        auto done = std::make_shared<bool>(false);
        const auto finish = [this, index, host, done](duration delay,
                                                      const peer_state_fetched &fetched) {
            later(index, host, delay, [done, fetched](entry_host &on, reduce_context &context) {
                if (std::exchange(*done, true))
                    return;
                on.documents.onPeerState(context, fetched);
                on.members.onPeerState(context, fetched.state);
            });
        };
        finish(std::chrono::milliseconds(1000), {fetch.attempt, false, {}, {}});
        net.send(name(index), name(to), [this, index, to, finish, fetch] {
            peer_state_fetched fetched{fetch.attempt, true, {}, hosts[to]->documents.current()};
            for (const auto &[id, each] : hosts[to]->members.members())
                fetched.state.members.push_back(each);
            if (!net.isCut(name(index), name(to)))
                finish(net.between(1, 5), fetched);
        });
    }

    void callPlatform(std::size_t index, const host_pointer &host, const call_platform &made)
    {
        using status_kind = platform_result::status_kind;
        const bool isWatch = made.call.method == platform_call::method_kind::Watch;
        auto done = std::make_shared<bool>(false);
        const auto finish = [this, index, host, done, made](duration delay, status_kind status,
                                                            const configuration_copy &copy,
                                                            std::uint64_t version) {
            later(index, host, delay,
                  [done, made, status, copy, version](entry_host &on, reduce_context &context) {
                      if (!std::exchange(*done, true))
                          on.documents.onPlatform(context,
                                                  {made.attempt, {status, version, {}, {}}, copy});
                  });
        };
        if (platformDown || net.isCut(name(index), "platform")) {
            finish(net.between(1, 1000), status_kind::Unavailable, {}, 0);
            return;
        }
        if (made.call.kind != "configuration") {
            finish(net.between(1, 5), status_kind::Unavailable, {}, 0);
            return;
        }
        finish(made.call.timeout + std::chrono::milliseconds(50), status_kind::Unknown, {}, 0);
        const auto reply = [this, index, finish, isWatch] {
            if (platformDown || net.isCut(name(index), "platform") || net.chance(lostAnswerPercent))
                return;
            std::size_t version = history.size();
            if (!isWatch && net.chance(staleReadPercent))
                version = 1 + net.below(static_cast<std::uint32_t>(version));
            finish(net.between(1, 20), status_kind::Done, history[version - 1], version);
        };
        if (!isWatch || history.size() > made.call.version) {
            reply();
            return;
        }
        m_watches.push_back(reply);
        net.after(made.call.timeout, "platform", [this, index, finish] {
            if (!platformDown && !net.isCut(name(index), "platform"))
                finish(net.between(1, 5), status_kind::NotModified, {}, 0);
        });
    }

    std::vector<action> m_watches;
    std::uint64_t m_incarnations = 0;
    std::uint64_t m_digests = 0;
};

} // namespace waxwing
