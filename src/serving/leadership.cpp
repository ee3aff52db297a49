#include "serving/leadership.h"

#include "core/eventlog.h"

namespace jujube::serving {

namespace {

using core::Milliseconds;
using core::TimePoint;
using ErrorCode = boost::system::error_code;

// Contenders spread their attempts, so that mostly one of them calls the store.
constexpr Milliseconds ContendSpread{60}; ///< For each contender.
// A process that has just started lets others go first: they know the usage of the last windows.
constexpr Milliseconds SettleTime{6'000};
constexpr Milliseconds NewcomerDelay{900};
constexpr int RenewalsPerLease = 3;

} // namespace

Leadership::Leadership(boost::asio::io_context &io, StoreClient &store, std::mt19937_64 &random,
                       std::string holder, Milliseconds leaseTime)
    : m_store(store),
      m_random(random),
      m_timer(io),
      m_holder(std::move(holder)),
      m_leaseTime(leaseTime),
      m_startedAt(core::BootClock::now())
{
}

void Leadership::stop()
{
    m_stopped = true;
    m_timer.cancel();
}

void Leadership::keyTaken()
{
    m_taken = true;
}

void Leadership::keyFree()
{
    m_taken = false;
    if (m_contending || m_stopped || m_lease != 0)
        return;
    m_contending = true;
    std::uniform_int_distribution<int64_t> spread(0, ContendSpread.count() * m_contenders);
    Milliseconds delay(spread(m_random));
    if (core::BootClock::now() - m_startedAt < SettleTime)
        delay += NewcomerDelay;
    m_timer.expires_after(delay);
    m_timer.async_wait([this](const ErrorCode &ec) {
        if (ec)
            return;
        if (m_taken)
            m_contending = false; // Somebody was faster.
        else
            contend();
    });
}

void Leadership::observe(uint64_t keyRevision, uint64_t storeRevision)
{
    if (m_token != 0 && storeRevision >= m_token && keyRevision != m_token)
        lost(keyRevision == 0 ? "its key is gone" : "another gateway holds the key");
}

void Leadership::contend()
{
    const TimePoint before = core::BootClock::now();
    m_store.grantLease(m_leaseTime, [this, before](const absl::StatusOr<uint64_t> &lease) {
        if (!lease.ok()) {
            m_contending = false;
            return;
        }
        take(*lease, before);
    });
}

void Leadership::take(uint64_t lease, TimePoint before)
{
    StoreCommit commit;
    commit.expected.emplace_back(Key, 0);
    commit.writes.push_back({Key, m_holder, lease});
    m_store.commit(commit, [this, lease, before](const absl::StatusOr<uint64_t> &revision) {
        m_contending = false;
        if (!revision.ok()) {
            // If only the answer was lost the key lapses by itself: the lease is not renewed.
            core::Event("leader.not-taken").with("why", revision.status().message());
            return;
        }
        m_lease = lease;
        m_token = *revision;
        m_validUntil = before + m_leaseTime;
        core::Event("leader.taken").with("token", m_token);
        renewLater();
    });
}

void Leadership::renewLater()
{
    m_timer.expires_after(m_leaseTime / RenewalsPerLease);
    m_timer.async_wait([this](const ErrorCode &ec) {
        if (!ec)
            renew();
    });
}

void Leadership::renew()
{
    const TimePoint before = core::BootClock::now();
    if (before >= m_validUntil) {
        lost("the lease ran out before it was renewed");
        return;
    }
    m_store.renewLease(m_lease, [this, before](const absl::Status &status) {
        if (m_lease == 0 || m_stopped)
            return;
        if (status.ok())
            m_validUntil = before + m_leaseTime;
        else if (absl::IsNotFound(status))
            m_validUntil = {};
        if (core::BootClock::now() >= m_validUntil)
            lost(std::string(status.message()));
        else
            renewLater();
    });
}

void Leadership::lost(const std::string &why)
{
    core::Event("leader.lost").with("token", m_token).with("why", why);
    m_lease = 0;
    m_token = 0;
    m_validUntil = {};
    m_actFrom = core::BootClock::now() + m_leaseTime;
    m_timer.cancel();
}

} // namespace jujube::serving
