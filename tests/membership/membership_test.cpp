#include "membership/gossip_size.h"
#include "membership/membership.h"
#include "peer.pb.h"
#include "support/virtual_network.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <iostream>
#include <limits>
#include <memory>

namespace waxwing {
namespace {

/// Simulated host with its membership state.
struct host
{
    member self;
    membership members{membership_settings{}};
    random_engine random;
    std::uint64_t lastAttempt = 0;
    bool running = true;
    time_point tickAt = time_point::max();
};

/// Hosts `h0`, `h1`, ... in zones `z0`, `z1`, ... on a virtual network.
class cluster
{
public:
    cluster(std::uint64_t seed, int count, int zones) : net(seed)
    {
        for (int i = 0; i < count; ++i)
            start(i, fmt::format("z{}", i % zones), 1);
    }

    static std::vector<endpoint> seeds()
    {
        return {endpoint{"127.0.0.1", 7000}, endpoint{"127.0.0.1", 7001}};
    }

    void start(int index, const std::string &zone, std::uint64_t incarnation)
    {
        auto added = std::make_unique<host>();
        const auto port = static_cast<std::uint16_t>(7000 + index);
        added->self.host = host_id{fmt::format("h{}", index)};
        added->self.zone = zone_id{zone};
        added->self.gossip = endpoint{"127.0.0.1", port};
        added->self.peer = endpoint{"127.0.0.2", port};
        added->self.incarnation = incarnation;
        added->random.seed(net.below(1000000));
        auto &place = hosts[added->self.host.value];
        place = std::move(added);
        run(*place,
            [&](reduce_context &context) { place->members.start(context, place->self, seeds()); });
    }

    void run(host &on, const std::function<void(reduce_context &)> &action)
    {
        effect_list effects;
        reduce_context context{net.now(), net.wallNow(), on.random, on.lastAttempt, effects};
        action(context);
        for (const effect &each : effects) {
            if (const auto *datagram = std::get_if<send_datagram>(&each))
                deliver(on, *datagram);
        }
        const auto due = on.members.nextDeadline();
        if (due && *due < on.tickAt) {
            on.tickAt = *due;
            const std::string id = on.self.host.value;
            const host *expected = &on;
            net.after(std::max(duration(0), *due - net.now()), id, [this, id, expected] {
                host *current = hosts.at(id).get();
                if (current != expected || !current->running)
                    return;
                current->tickAt = time_point::max();
                run(*current, [&](reduce_context &c) { current->members.onTick(c); });
            });
        }
    }

    void deliver(const host &from, const send_datagram &datagram)
    {
        largest = std::max(largest, gossipBytes(datagram.message));
        const std::string to = fmt::format("h{}", datagram.to.port - 7000);
        const endpoint source = from.self.gossip;
        if (hosts.count(to) == 0)
            return;
        net.send(from.self.host.value, to, [this, to, source, message = datagram.message] {
            host &receiver = *hosts.at(to);
            if (receiver.running)
                run(receiver,
                    [&](reduce_context &c) { receiver.members.onDatagram(c, source, message); });
        });
    }

    void cutZone(const std::string &zone, bool cut)
    {
        for (const auto &[left, a] : hosts) {
            for (const auto &[right, b] : hosts) {
                if (a->self.zone.value == zone && b->self.zone.value != zone)
                    net.setCut(left, right, cut);
            }
        }
    }

    /// Whether the membership of each running host has exactly `count` active members.
    bool allSee(std::size_t count) const
    {
        for (const auto &[id, each] : hosts) {
            if (each->running && each->members.activeMembers().size() != count)
                return false;
        }
        return true;
    }

    /// Seconds until `allSee(count)`, or -1 if that takes longer than `limit`.
    double secondsUntilAllSee(std::size_t count, duration limit)
    {
        const time_point begin = net.now();
        while (!allSee(count)) {
            if (net.now() - begin > limit)
                return -1;
            net.runFor(std::chrono::milliseconds(100));
        }
        return std::chrono::duration<double>(net.now() - begin).count();
    }

    virtual_network net;
    std::map<std::string, std::unique_ptr<host>> hosts;
    std::size_t largest = 0;
};

} // namespace

class membership_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(membership_test);
    CPPUNIT_TEST(detectsDeathAndRestart);
    CPPUNIT_TEST(fleetThatStartsAtOnceKnowsAllHosts);
    CPPUNIT_TEST(packetLossDeclaresNoHostDead);
    CPPUNIT_TEST(pausedHostRejoinsAndDeclaresNoHostDead);
    CPPUNIT_TEST(partitionedZonesMerge);
    CPPUNIT_TEST(leavingHostIsInactiveAtOnce);
    CPPUNIT_TEST(factsSpreadAndExpire);
    CPPUNIT_TEST(factsAreBounded);
    CPPUNIT_TEST(sizeBoundHoldsForTheEncoding);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against requests forwarded to dead hosts and against restarted hosts that remain
    /// inactive.
    void detectsDeathAndRestart()
    {
        cluster tested(1, 7, 3);
        CPPUNIT_ASSERT(tested.secondsUntilAllSee(7, std::chrono::seconds(20)) >= 0);
        tested.net.runFor(std::chrono::seconds(10));
        tested.hosts.at("h6")->running = false;
        const double death = tested.secondsUntilAllSee(6, std::chrono::seconds(30));
        CPPUNIT_ASSERT(death >= 0);
        tested.start(6, "z0", 2);
        const double restart = tested.secondsUntilAllSee(7, std::chrono::seconds(30));
        CPPUNIT_ASSERT(restart >= 0);
        std::cout << fmt::format("death seen after {:.1f} s, restart after {:.1f} s\n", death,
                                 restart);
    }

    /// Guards against a large fleet whose hosts divide connections and budgets by too few hosts for
    /// longer than the window of the budgets, 10 s, after they start at once or are all restarted.
    /// One datagram in ten is lost.
    void fleetThatStartsAtOnceKnowsAllHosts()
    {
        constexpr std::size_t count = 300;
        cluster tested(7, count, 6);
        tested.net.lossPercent = 10;
        const double started = tested.secondsUntilAllSee(count, std::chrono::seconds(10));
        CPPUNIT_ASSERT(started >= 0);
        for (std::size_t i = 0; i < count; ++i) {
            const int index = static_cast<int>(i);
            tested.start(index, fmt::format("z{}", index % 6), 2);
        }
        const double restarted = tested.secondsUntilAllSee(count, std::chrono::seconds(10));
        CPPUNIT_ASSERT(restarted >= 0);
        CPPUNIT_ASSERT(tested.largest <= 1200);
        std::cout << fmt::format("known after {:.1f} s, after a restart of all {:.1f} s\n", started,
                                 restarted);
    }

    /// Guards against running hosts declared dead because single datagrams are lost.
    void packetLossDeclaresNoHostDead()
    {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            cluster tested(seed, 9, 3);
            CPPUNIT_ASSERT(tested.secondsUntilAllSee(9, std::chrono::seconds(20)) >= 0);
            tested.net.lossPercent = 10;
            for (int second = 0; second < 120; ++second) {
                tested.net.runFor(std::chrono::seconds(1));
                CPPUNIT_ASSERT_MESSAGE(fmt::format("seed {}", seed), tested.allSee(9));
            }
        }
    }

    /// Guards against a paused host that remains inactive afterwards or declares other hosts dead.
    void pausedHostRejoinsAndDeclaresNoHostDead()
    {
        cluster tested(2, 7, 3);
        CPPUNIT_ASSERT(tested.secondsUntilAllSee(7, std::chrono::seconds(20)) >= 0);
        tested.net.pause("h3", std::chrono::seconds(30));
        tested.net.runFor(std::chrono::seconds(29));
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, tested.hosts.at("h0")->members.activeMembers().size());
        tested.net.runFor(std::chrono::seconds(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{7}, tested.hosts.at("h3")->members.activeMembers().size());
        CPPUNIT_ASSERT(tested.secondsUntilAllSee(7, std::chrono::seconds(20)) >= 0);
    }

    /// Guards against zones that remain partitioned after connectivity is restored, including when
    /// each side has removed the members of the other one.
    void partitionedZonesMerge()
    {
        for (const int minutes : {1, 15}) {
            cluster tested(3, 9, 3);
            CPPUNIT_ASSERT(tested.secondsUntilAllSee(9, std::chrono::seconds(20)) >= 0);
            tested.cutZone("z0", true);
            tested.net.runFor(std::chrono::minutes(minutes));
            CPPUNIT_ASSERT_EQUAL(std::size_t{3},
                                 tested.hosts.at("h0")->members.activeMembers().size());
            CPPUNIT_ASSERT_EQUAL(std::size_t{6},
                                 tested.hosts.at("h1")->members.activeMembers().size());
            CPPUNIT_ASSERT_EQUAL(std::size_t{minutes < 10 ? 9U : 3U},
                                 tested.hosts.at("h0")->members.members().size());
            tested.cutZone("z0", false);
            const double merged = tested.secondsUntilAllSee(9, std::chrono::seconds(60));
            CPPUNIT_ASSERT(merged >= 0);
            std::cout << fmt::format("merged {:.1f} s after {} min of partition\n", merged,
                                     minutes);
        }
    }

    /// Guards against new requests for a host that has announced its shutdown.
    void leavingHostIsInactiveAtOnce()
    {
        cluster tested(4, 7, 3);
        CPPUNIT_ASSERT(tested.secondsUntilAllSee(7, std::chrono::seconds(20)) >= 0);
        host &leaving = *tested.hosts.at("h2");
        tested.run(leaving, [&](reduce_context &c) { leaving.members.announceLeaving(c); });
        const double known = tested.secondsUntilAllSee(6, std::chrono::seconds(5));
        CPPUNIT_ASSERT(known >= 0 && known <= 1);
    }

    /// Guards against leaving servers that receive requests for longer than 3 s, and against facts
    /// that are kept beyond their validity.
    void factsSpreadAndExpire()
    {
        cluster tested(5, 40, 4);
        CPPUNIT_ASSERT(tested.secondsUntilAllSee(40, std::chrono::seconds(60)) >= 0);
        host &origin = *tested.hosts.at("h5");
        tested.run(origin, [&](reduce_context &c) {
            origin.members.publish(c, fact_kind::ServerLeaving, "server-1", 0,
                                   std::chrono::seconds(20));
        });
        tested.net.runFor(std::chrono::seconds(3));
        std::size_t received = 0;
        for (const auto &[id, each] : tested.hosts) {
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, each->members.facts(tested.net.now()).size());
            received += each->members.takeNewFacts().size();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{39}, received);
        tested.net.runFor(std::chrono::seconds(18));
        for (const auto &[id, each] : tested.hosts) {
            CPPUNIT_ASSERT(each->members.facts(tested.net.now()).empty());
            CPPUNIT_ASSERT(each->members.takeNewFacts().empty());
        }
    }

    /// Guards against memory exhaustion by a faulty peer, and against datagrams over the limit.
    void factsAreBounded()
    {
        cluster tested(6, 5, 1);
        CPPUNIT_ASSERT(tested.secondsUntilAllSee(5, std::chrono::seconds(20)) >= 0);
        host &origin = *tested.hosts.at("h1");
        tested.run(origin, [&](reduce_context &c) {
            for (int i = 0; i < 2000; ++i)
                origin.members.publish(c, fact_kind::RequestQuarantined,
                                       fmt::format("fingerprint-{}", i), 1,
                                       std::chrono::minutes(5));
            origin.members.publish(c, fact_kind::RequestQuarantined, std::string(5000, 'x'), 1,
                                   std::chrono::minutes(5));
        });
        tested.net.runFor(std::chrono::seconds(30));
        for (const auto &[id, each] : tested.hosts)
            CPPUNIT_ASSERT(each->members.facts(tested.net.now()).size() <= 1000);
        CPPUNIT_ASSERT(tested.largest <= 1200);
        CPPUNIT_ASSERT(tested.largest > 1000);
    }

    /// Guards against encoded datagrams larger than the computed bound.
    void sizeBoundHoldsForTheEncoding()
    {
        const auto most = std::numeric_limits<std::uint64_t>::max();
        member record;
        record.host = host_id{"host"};
        record.zone = zone_id{"zone"};
        record.gossip = endpoint{"127.100.100.100", 65535};
        record.peer = record.gossip;
        record.incarnation = most;
        record.state = member_state::Dead;
        record.configurationRevision = most;
        fact known;
        known.kind = fact_kind::RequestQuarantined;
        known.subject = "subject";
        known.origin = record.host;
        known.sequence = most;
        known.value = most;
        known.validFor = std::chrono::hours(1);
        gossip_message message;
        message.kind = gossip_message::message_kind::Acknowledge;
        message.sender = record;
        message.configurationDigest = most;
        message.probe = most;
        message.target = host_id{"target"};
        message.updates.push_back(record);
        message.facts.push_back(known);
        wire::Gossip encoded;
        const auto fill = [&](wire::Member &out) {
            out.set_host(record.host.value);
            out.set_zone(record.zone.value);
            out.mutable_gossip()->set_address(record.gossip.address);
            out.mutable_gossip()->set_port(65535);
            *out.mutable_peer() = out.gossip();
            out.set_incarnation(most);
            out.set_state(3);
            out.set_configuration_revision(most);
        };
        encoded.set_kind(2);
        fill(*encoded.mutable_sender());
        encoded.set_configuration_digest(most);
        encoded.set_probe(most);
        encoded.set_target("target");
        fill(*encoded.add_updates());
        wire::Fact &encodedFact = *encoded.add_facts();
        encodedFact.set_kind(1);
        encodedFact.set_subject("subject");
        encodedFact.set_origin("host");
        encodedFact.set_sequence(most);
        encodedFact.set_value(most);
        encodedFact.set_valid_for_ms(3600000);
        CPPUNIT_ASSERT(gossipBytes(message) >= encoded.ByteSizeLong());
        CPPUNIT_ASSERT(gossipBytes(message) <= encoded.ByteSizeLong() + 60);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(membership_test);

} // namespace waxwing
