#include "quarantine/request_quarantine.h"

#include "core/hash.h"

#include <absl/strings/numbers.h>
#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace waxwing {
namespace {

// 2 x 20,000 fingerprints take less than 1 MB. A popular query that was evicted is added again with
// its next answer.
constexpr std::size_t goodGenerationSize = 20000;
constexpr std::chrono::minutes goodGenerationTime{5};

} // namespace

std::string_view verdictName(loss_verdict verdict)
{
    switch (verdict) {
    case loss_verdict::Counted:
        return "counted";
    case loss_verdict::KnownGood:
        return "known_good";
    case loss_verdict::SameEpisode:
        return "same_episode";
    case loss_verdict::UnrelatedLosses:
        return "unrelated_losses";
    case loss_verdict::TooManySuspects:
        break;
    }
    return "too_many_suspects";
}

std::uint64_t requestFingerprint(const service_id &service, std::string_view query)
{
    return stableHash(query, stableHash(service.value));
}

request_quarantine::request_quarantine(quarantine_settings settings)
    : m_settings(settings), m_good(goodGenerationSize, goodGenerationTime)
{ }

std::optional<std::chrono::milliseconds> request_quarantine::listedFor(std::uint64_t fingerprint,
                                                                       time_point now) const
{
    const suspect *known = find(fingerprint, now);
    if (known == nullptr || !isListed(*known))
        return std::nullopt;
    return std::chrono::ceil<std::chrono::milliseconds>(known->expires - now);
}

bool request_quarantine::isKnownGood(std::uint64_t fingerprint) const
{
    return m_good.contains(fingerprint);
}

bool request_quarantine::isSuspect(std::uint64_t fingerprint, time_point now) const
{
    return find(fingerprint, now) != nullptr && !isKnownGood(fingerprint);
}

std::uint32_t request_quarantine::crashes(std::uint64_t fingerprint, time_point now) const
{
    const suspect *known = find(fingerprint, now);
    return known == nullptr ? 0 : known->crashes;
}

bool request_quarantine::hasRecentCrash(const service_id &service, time_point now) const
{
    const auto crash = m_lastCrash.find(service);
    return crash != m_lastCrash.end() && now - crash->second < m_settings.alertTime;
}

void request_quarantine::onAnswer(std::uint64_t fingerprint, time_point now)
{
    if (m_good.contains(fingerprint))
        return;
    const auto known = m_suspects.find(fingerprint);
    if (known != m_suspects.end()) {
        if (isListed(known->second))
            return;
        m_suspects.erase(known);
    }
    m_good.add(fingerprint, now);
}

loss_verdict request_quarantine::onConnectionLost(const service_id &service,
                                                  std::uint64_t fingerprint,
                                                  const lost_server &lost, time_point sent,
                                                  time_point now)
{
    m_lastCrash[service] = now;
    recordLoss(lost.id, now);
    if (m_good.contains(fingerprint))
        return loss_verdict::KnownGood;
    suspect *known = insert(fingerprint, now);
    if (known == nullptr)
        return loss_verdict::TooManySuspects;
    known->servers.insert(lost.id);
    // Counted from a report already. A later loss on this start counts, since the server went on.
    if (known->reported.erase(lost.start) != 0) {
        known->starts.insert(lost.start);
        return loss_verdict::SameEpisode;
    }
    // Attempts sent before the last counted crash add no crash: the loss of a zone breaks many
    // connections at once.
    if (known->crashes != 0 && sent < known->countedAt)
        return loss_verdict::SameEpisode;
    if (known->crashes + 1 >= m_settings.crashesToList && isCorrelatedLoss(*known)
        && known->ignoredCrashes < m_settings.maxIgnoredCrashes) {
        ++known->ignoredCrashes;
        known->countedAt = now;
        return loss_verdict::UnrelatedLosses;
    }
    known->expires = now + m_settings.listedFor;
    known->starts.insert(lost.start);
    known->unreported.push_back(lost.start);
    raiseCrashCount(fingerprint, *known, known->crashes + 1, now);
    publish(fingerprint, *known);
    return loss_verdict::Counted;
}

void request_quarantine::publish(std::uint64_t fingerprint, suspect &known)
{
    if (known.crashes < m_settings.crashesToPublish)
        return;
    // Hosts that publish every crash have nothing to report. Otherwise the collectors add up all
    // crashes, including those that are published.
    if (m_settings.crashesToPublish > 1)
        onUnanswered(fingerprint);
    else
        known.unreported.clear();
    m_observations.push_back(
        {fmt::format("{:016x}", fingerprint), known.crashes, m_settings.listedFor});
}

void request_quarantine::onConnectionNotAccepted(std::uint64_t fingerprint, const lost_server &lost,
                                                 time_point sent, time_point now)
{
    while (!m_unconfirmed.empty()
           && (now - m_unconfirmed.front().at > m_settings.confirmTime
               || m_unconfirmed.size() >= m_settings.maxSuspects))
        m_unconfirmed.pop_front();
    if (!m_good.contains(fingerprint))
        m_unconfirmed.push_back({fingerprint, lost, sent, now});
}

std::vector<std::uint64_t> request_quarantine::onServerEnded(std::uint64_t start, time_point now)
{
    std::vector<std::uint64_t> counted;
    for (const unconfirmed_loss &loss : m_unconfirmed) {
        if (loss.lost.start == start && now - loss.at <= m_settings.confirmTime
            && countConfirmed(loss, now))
            counted.push_back(loss.fingerprint);
    }
    std::erase_if(m_unconfirmed, [start](const auto &loss) { return loss.lost.start == start; });
    return counted;
}

bool request_quarantine::countConfirmed(const unconfirmed_loss &loss, time_point now)
{
    suspect *known = m_good.contains(loss.fingerprint) ? nullptr : insert(loss.fingerprint, now);
    if (known == nullptr || known->reported.count(loss.lost.start) != 0)
        return false;
    // One failure may break the connections of many attempts, which are in progress together.
    const bool isSameEpisode =
        std::any_of(known->confirmed.begin(), known->confirmed.end(), [&loss](const auto &other) {
            return loss.sent < other.second && other.first < loss.at;
        });
    if (isSameEpisode || !known->starts.insert(loss.lost.start).second)
        return false;
    known->confirmed.emplace_back(loss.sent, loss.at);
    known->servers.insert(loss.lost.id);
    known->unreported.push_back(loss.lost.start);
    known->expires = now + m_settings.listedFor;
    raiseCrashCount(loss.fingerprint, *known, known->crashes + 1, now);
    publish(loss.fingerprint, *known);
    onUnanswered(loss.fingerprint);
    return true;
}

void request_quarantine::onUnanswered(std::uint64_t fingerprint)
{
    const auto known = m_suspects.find(fingerprint);
    if (known == m_suspects.end())
        return;
    for (const std::uint64_t start : std::exchange(known->second.unreported, {}))
        m_reports.push_back({fingerprint, start});
}

void request_quarantine::onReport(const crash_report &report, time_point now)
{
    if (m_good.contains(report.fingerprint))
        return;
    suspect *known = insert(report.fingerprint, now);
    if (known == nullptr || known->starts.count(report.start) != 0
        || !known->reported.insert(report.start).second)
        return;
    known->expires = now + m_settings.listedFor;
    // Another host may have published a count that contains this crash.
    const auto counted = static_cast<std::uint32_t>(known->starts.size() + known->reported.size());
    if (counted <= known->crashes)
        return;
    raiseCrashCount(report.fingerprint, *known, counted, now);
    publish(report.fingerprint, *known);
}

void request_quarantine::onFact(const fact &received, time_point now)
{
    std::uint64_t fingerprint = 0;
    if (!absl::SimpleHexAtoi(received.subject, &fingerprint) || received.validFor.count() <= 0)
        return;
    suspect *known = insert(fingerprint, now);
    if (known == nullptr)
        return;
    known->expires =
        std::max(known->expires, now + std::min(received.validFor, m_settings.listedFor));
    const auto crashes = static_cast<std::uint32_t>(std::min<std::uint64_t>(received.value, 1000));
    // Two hosts may have counted the same crash, so the maximum of the counts is used, not the sum.
    if (crashes > known->crashes)
        raiseCrashCount(fingerprint, *known, crashes, now);
}

bool request_quarantine::isListed(const suspect &candidate) const
{
    return candidate.crashes >= m_settings.crashesToList + (candidate.contested ? 1 : 0);
}

void request_quarantine::raiseCrashCount(std::uint64_t fingerprint, suspect &known,
                                         std::uint32_t crashes, time_point now)
{
    known.crashes = crashes;
    known.ignoredCrashes = 0;
    known.countedAt = now;
    if (crashes < m_settings.crashesToList || known.reachedAt.has_value())
        return;
    known.reachedAt = now;
    for (const std::uint64_t other : m_reached) {
        const auto found = m_suspects.find(other);
        if (found == m_suspects.end() || other == fingerprint
            || !found->second.reachedAt.has_value()
            || now - *found->second.reachedAt > m_settings.tieWindow)
            continue;
        found->second.contested = true;
        known.contested = true;
    }
    m_reached.push_back(fingerprint);
    // Requests that reached the count within `tieWindow` are adjacent in the list, so older entries
    // can be dropped.
    constexpr std::size_t remembered = 64;
    if (m_reached.size() > remembered)
        m_reached.pop_front();
}

std::vector<request_quarantine::observation> request_quarantine::takeObservations()
{
    return std::exchange(m_observations, {});
}

std::vector<crash_report> request_quarantine::takeReports()
{
    return std::exchange(m_reports, {});
}

const request_quarantine::suspect *request_quarantine::find(std::uint64_t fingerprint,
                                                            time_point now) const
{
    const auto known = m_suspects.find(fingerprint);
    if (known == m_suspects.end() || known->second.expires <= now)
        return nullptr;
    return &known->second;
}

request_quarantine::suspect *request_quarantine::insert(std::uint64_t fingerprint, time_point now)
{
    const auto known = m_suspects.find(fingerprint);
    if (known != m_suspects.end() && known->second.expires > now)
        return &known->second;
    if (m_suspects.size() >= m_settings.maxSuspects)
        std::erase_if(m_suspects, [&](const auto &entry) { return entry.second.expires <= now; });
    if (m_suspects.size() >= m_settings.maxSuspects)
        return nullptr;
    suspect &fresh = m_suspects[fingerprint];
    fresh = suspect();
    fresh.expires = now + m_settings.listedFor;
    return &fresh;
}

void request_quarantine::recordLoss(const server_id &server, time_point now)
{
    while (!m_losses.empty() && now - m_losses.front().at > m_settings.burstWindow)
        m_losses.pop_front();
    const bool isKnown = std::any_of(m_losses.begin(), m_losses.end(),
                                     [&](const auto &loss) { return loss.server == server; });
    if (!isKnown)
        m_losses.push_back({now, server});
}

bool request_quarantine::isCorrelatedLoss(const suspect &candidate) const
{
    const auto unrelated = std::count_if(m_losses.begin(), m_losses.end(), [&](const auto &loss) {
        return !candidate.servers.contains(loss.server);
    });
    return static_cast<std::size_t>(unrelated) >= m_settings.unrelatedLosses;
}

} // namespace waxwing
