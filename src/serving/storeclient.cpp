#include "serving/storeclient.h"

#include "core/eventlog.h"
#include "core/metrics.h"
#include "platform/storecodec.h"

namespace jujube::serving {

namespace {

using core::Milliseconds;

// The store answers in some 4 ms, and 60 times as slowly on bad days.
constexpr Milliseconds CallTimeout{1'000};
constexpr Milliseconds WatchSlack{600};

} // namespace

StoreClient::StoreClient(http::Caller &caller, std::string address)
    : m_caller(caller), m_address(std::move(address))
{
}

template <typename T, typename Decode>
std::function<void(http::CallResult)> StoreClient::decoding(Callback<T> done, Depends depends,
                                                            Decode decode)
{
    return [this, done = std::move(done), depends, decode,
            sentIn = m_era](const http::CallResult &result) {
        if (!result.response.ok()) {
            done(result.response.status());
            return;
        }
        const auto era = admit(result.response->head);
        if (!era.ok())
            done(era.status());
        else if (depends == Depends::OnEra && *era != sentIn)
            done(absl::CancelledError("the store was restored since the call was sent"));
        else
            done(decode(*result.response, *era));
    };
}

// An answer that states no era, or none that can be read, counts as one of the present era: the
// next one that does state it replaces whatever was taken over.
absl::StatusOr<uint64_t> StoreClient::admit(const http::Head &head)
{
    const auto stated = platform::decodeEra(head);
    if (!stated.ok())
        core::Event("store.era.invalid").with("why", stated.status().message());
    else if (stated->has_value() && **stated < m_era) {
        core::Event("store.era.old").with("stated", **stated).with("known", m_era);
        return absl::CancelledError("the answer is from before the store was restored");
    } else if (stated->has_value())
        learnEra(**stated);
    else if (m_era != 0)
        core::Event("store.era.missing").with("known", m_era);
    return m_era;
}

void StoreClient::learnEra(uint64_t era)
{
    if (era <= m_era)
        return;
    core::Event("store.restored").with("era", era).with("era_before", m_era);
    core::setGauge("jujube_store_era", "", static_cast<double>(era));
    m_era = era;
    for (const auto &it : m_listeners)
        it(era);
}

void StoreClient::onEra(std::function<void(uint64_t era)> listener)
{
    m_listeners.push_back(std::move(listener));
}

void StoreClient::get(const std::string &key, Callback<StoreItem> done)
{
    m_caller.call(m_address, platform::encodeGet(key), CallTimeout,
                  decoding<StoreItem>(std::move(done), Depends::Free, platform::decodeItem));
}

void StoreClient::list(const std::string &prefix, const std::string &afterKey,
                       Callback<StorePage> done)
{
    m_caller.call(m_address, platform::encodeList(prefix, afterKey, false), CallTimeout,
                  decoding<StorePage>(std::move(done), Depends::Free, platform::decodeListing));
}

void StoreClient::watch(const std::string &prefix, uint64_t afterRevision, Milliseconds wait,
                        Callback<StorePage> done)
{
    m_caller.call(m_address, platform::encodeWatch(prefix, afterRevision, wait), wait + WatchSlack,
                  decoding<StorePage>(std::move(done), Depends::OnEra, platform::decodeEvents));
}

void StoreClient::commit(const StoreCommit &commit, Callback<StoreVersion> done)
{
    m_caller.call(m_address, platform::encodeCommit(commit), CallTimeout,
                  decoding<StoreVersion>(std::move(done), Depends::OnEra, platform::decodeCommit));
}

void StoreClient::grantLease(Milliseconds lifetime, Callback<uint64_t> done)
{
    const auto decode = [](const http::Response &response, uint64_t) {
        return platform::decodeLease(response);
    };
    m_caller.call(m_address, platform::encodeLeaseGrant(lifetime), CallTimeout,
                  decoding<uint64_t>(std::move(done), Depends::OnEra, decode));
}

void StoreClient::renewLease(uint64_t lease, std::function<void(absl::Status)> done)
{
    const auto decode = [](const http::Response &response, uint64_t) -> absl::StatusOr<bool> {
        const absl::Status status = platform::decodeRenewal(response);
        if (!status.ok())
            return status;
        return true;
    };
    m_caller.call(m_address, platform::encodeLeaseRenewal(lease), CallTimeout,
                  decoding<bool>([done = std::move(done)](
                                     const absl::StatusOr<bool> &result) { done(result.status()); },
                                 Depends::OnEra, decode));
}

} // namespace jujube::serving
