#include "serving/leadership.h"

#include "core/eventlog.h"
#include "core/text.h"

#include <charconv>

namespace jujube::serving {

namespace {

using core::Milliseconds;
using core::TimePoint;
using ErrorCode = boost::system::error_code;

// Contenders spread their attempts, so that usually only one of them calls the store.
constexpr Milliseconds ContendSpreadPerContender{60};
// A process that has just started contends later than others, which know the usage counts of the
// last windows.
constexpr Milliseconds StartupTime{6'000};
constexpr Milliseconds YieldDelay{900};
constexpr int RenewalsPerLease = 3;

// The value begins with the era, so that a leader key restored from a backup is recognized as
// stale.
std::string keyValue(uint64_t era, const std::string &holder)
{
    return core::concat(era, " ", holder);
}

std::optional<uint64_t> eraOf(const std::string &value)
{
    uint64_t era = 0;
    const char *end = value.data() + value.size();
    const auto parsed = std::from_chars(value.data(), end, era);
    if (parsed.ec != std::errc() || parsed.ptr == end || *parsed.ptr != ' ')
        return std::nullopt;
    return era;
}

} // namespace

Leadership::Leadership(boost::asio::io_context &io, StoreClient &store, std::mt19937_64 &random,
                       std::string holder, Milliseconds leaseTime)
    : m_store(store),
      m_random(random),
      m_timer(io),
      m_holder(std::move(holder)),
      m_leaseTime(leaseTime),
      m_term(leaseTime),
      m_startedAt(core::BootClock::now())
{
    store.onEra([this](uint64_t) { startEra(); });
}

// Also called for the first era that a new process observes, as the restore may be recent.
void Leadership::startEra()
{
    const TimePoint now = core::BootClock::now();
    m_leaderSinceBeforeEra = m_term.mayAct(now) ? std::optional(m_acquiredAt) : std::nullopt;
    m_eraObservedAt = now;
    m_staleRevision = 0;
    if (m_term.holds())
        endLeadership("the store was restored");
    m_term.startEra(now);
}

void Leadership::stop()
{
    m_stopped = true;
    m_timer.cancel();
}

void Leadership::follow(const StoreItem *key, const StoreVersion &store)
{
    // An item of an earlier era is removed shortly.
    const bool present = key && key->version.era == store.era;
    observe(present ? key->version : StoreVersion(), store);
    const bool stale = present && eraOf(key->value).value_or(store.era) < store.era;
    if (present && !stale)
        onKeyHeld();
    else
        onKeyFree(stale ? key->version.revision : 0);
}

void Leadership::onKeyHeld()
{
    m_keyHeld = true;
}

void Leadership::onKeyFree(uint64_t staleRevision)
{
    m_keyHeld = false;
    m_staleRevision = staleRevision;
    if (m_contending || m_stopped || m_lease != 0)
        return;
    m_contending = true;
    std::uniform_int_distribution<int64_t> spread(0,
                                                  ContendSpreadPerContender.count() * m_contenders);
    Milliseconds delay(spread(m_random));
    // After a restore the previous leader contends first, as it knows which windows it has
    // reported.
    const TimePoint now = core::BootClock::now();
    const bool restored = m_eraObservedAt != TimePoint{} && now - m_eraObservedAt < m_leaseTime
        && !m_leaderSinceBeforeEra;
    if (restored || now - m_startedAt < StartupTime)
        delay += YieldDelay;
    m_timer.expires_after(delay);
    m_timer.async_wait([this](const ErrorCode &ec) {
        if (ec)
            return;
        if (m_keyHeld)
            m_contending = false; // Another gateway acquired the key.
        else
            contend();
    });
}

void Leadership::observe(const StoreVersion &key, const StoreVersion &store)
{
    if (m_term.contradictedBy(key, store))
        endLeadership(key.revision == 0 ? "the leader key was removed"
                                        : "another gateway holds the leader key");
}

void Leadership::contend()
{
    const TimePoint requestedAt = core::BootClock::now();
    m_store.grantLease(m_leaseTime, [this, requestedAt](const absl::StatusOr<uint64_t> &lease) {
        if (!lease.ok()) {
            m_contending = false;
            return;
        }
        acquire(*lease, requestedAt);
    });
}

void Leadership::acquire(uint64_t lease, TimePoint requestedAt)
{
    StoreCommit commit;
    commit.expected.emplace_back(Key, m_staleRevision);
    commit.writes.push_back({Key, keyValue(m_store.era(), m_holder), lease});
    m_store.commit(commit, [this, lease, requestedAt](const absl::StatusOr<StoreVersion> &version) {
        m_contending = false;
        if (!version.ok()) {
            // If only the answer was lost, the key expires, as its lease is not renewed.
            core::Event("leader.not-taken").with("why", version.status().message());
            return;
        }
        if (!m_term.acquire(*version, requestedAt)) {
            core::Event("leader.not-taken")
                .with("why", "the store version exceeds the range of fencing tokens");
            return;
        }
        m_lease = lease;
        m_acquiredAt = core::BootClock::now();
        core::Event("leader.taken")
            .with("token", m_term.fencingToken())
            .with("era", version->era)
            .with("revision", version->revision);
        scheduleRenewal();
    });
}

void Leadership::scheduleRenewal()
{
    m_timer.expires_after(m_leaseTime / RenewalsPerLease);
    m_timer.async_wait([this](const ErrorCode &ec) {
        if (!ec)
            renew();
    });
}

void Leadership::renew()
{
    const TimePoint requestedAt = core::BootClock::now();
    if (!m_term.valid(requestedAt)) {
        endLeadership("the lease expired before it was renewed");
        return;
    }
    m_store.renewLease(m_lease, [this, requestedAt, lease = m_lease](const absl::Status &status) {
        if (m_lease != lease || m_stopped)
            return;
        if (status.ok())
            m_term.renew(requestedAt);
        else if (absl::IsNotFound(status))
            m_term.expire();
        if (!m_term.valid(core::BootClock::now()))
            endLeadership(std::string(status.message()));
        else
            scheduleRenewal();
    });
}

void Leadership::endLeadership(const std::string &why)
{
    core::Event("leader.lost").with("token", m_term.fencingToken()).with("why", why);
    m_lease = 0;
    m_term.endTerm(core::BootClock::now());
    m_timer.cancel();
}

} // namespace jujube::serving
