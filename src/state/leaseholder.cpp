#include "state/leaseholder.h"

namespace jujube::state {

LeaseHolder::LeaseHolder(wire::IoContext &io, KvClient &kv, std::string key, std::string holder,
                         core::Milliseconds ttl)
    : m_io(io), m_kv(kv), m_key(std::move(key)), m_holder(std::move(holder)), m_ttl(ttl)
{
}

wire::Task<bool> LeaseHolder::tryAcquire()
{
    const auto current = co_await m_kv.get(m_key);
    if (!current.ok() || current->revision != 0)
        co_return false;
    const core::TimePoint before = core::BootClock::now();
    const auto lease = co_await m_kv.grantLease(m_ttl);
    if (!lease.ok())
        co_return false;
    const auto revision = co_await m_kv.compareAndSwap(m_key, 0, m_holder, *lease);
    bool taken = revision.ok();
    if (!taken && isOutcomeUnknown(revision.status())) {
        // The outcome of the write is unknown; the value of the key names the holder.
        const auto readBack = co_await m_kv.get(m_key);
        taken = readBack.ok() && readBack->value == m_holder;
    }
    if (!taken) {
        co_await m_kv.revokeLease(*lease);
        co_return false;
    }
    m_lease = *lease;
    m_validUntil = before + m_ttl;
    co_return held();
}

wire::Task<bool> LeaseHolder::renew()
{
    if (m_lease.empty())
        co_return false;
    const core::TimePoint before = core::BootClock::now();
    const absl::Status status = co_await m_kv.renewLease(m_lease);
    if (status.ok()) {
        m_validUntil = before + m_ttl;
        co_return held();
    }
    if (absl::IsNotFound(status)) {
        // The lease has expired at the service; the holder must not act under it any more.
        m_validUntil = {};
        m_lease.clear();
    }
    co_return held();
}

wire::Task<void> LeaseHolder::release()
{
    m_validUntil = {};
    if (m_lease.empty())
        co_return;
    const std::string lease = std::exchange(m_lease, {});
    co_await m_kv.revokeLease(lease);
}

} // namespace jujube::state
