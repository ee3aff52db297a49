#include "serving/storeclient.h"

#include "core/eventlog.h"
#include "core/metrics.h"
#include "platform/storecodec.h"

namespace jujube::serving {

namespace {

using core::Milliseconds;

// The store usually answers within 4 ms, and within 60 times that while it is degraded.
constexpr Milliseconds CallTimeout{1'000};
constexpr Milliseconds WatchSlack{600};

} // namespace

StoreClient::StoreClient(http::Client &httpClient, std::string address)
    : m_httpClient(httpClient), m_address(std::move(address))
{
}

template <typename T, typename Decode>
std::function<void(http::CallResult)> StoreClient::responseHandler(Callback<T> done,
                                                                   EraCheck eraCheck, Decode decode)
{
    return [this, done = std::move(done), eraCheck, decode,
            sentInEra = m_era](const http::CallResult &result) {
        if (!result.response.ok()) {
            if (result.receivedBytes > 0)
                core::Event("store.call.cut")
                    .with("why", result.response.status().message())
                    .with("received_bytes", result.receivedBytes);
            done(result.response.status());
            return;
        }
        const auto era = checkEra(result.response->head);
        if (!era.ok())
            done(era.status());
        else if (eraCheck == EraCheck::SameEra && *era != sentInEra)
            done(absl::CancelledError("the store was restored after the call was sent"));
        else
            done(decode(*result.response, *era));
    };
}

// Assumes the current era for an answer without a valid era. If that is wrong, the next answer with
// a valid era starts the new era, which replaces the items that were applied.
absl::StatusOr<uint64_t> StoreClient::checkEra(const http::Head &head)
{
    const auto responseEra = platform::decodeEra(head);
    if (!responseEra.ok())
        core::Event("store.era.invalid").with("why", responseEra.status().message());
    else if (responseEra->has_value() && **responseEra < m_era) {
        core::Event("store.era.old").with("stated", **responseEra).with("known", m_era);
        return absl::CancelledError("the answer is from an era before the store was restored");
    } else if (responseEra->has_value())
        observeEra(**responseEra);
    else if (m_era != 0)
        core::Event("store.era.missing").with("known", m_era);
    return m_era;
}

void StoreClient::observeEra(uint64_t era)
{
    if (era <= m_era)
        return;
    core::Event("store.restored").with("era", era).with("era_before", m_era);
    core::setGauge("jujube_store_era", "", static_cast<double>(era));
    m_era = era;
    for (const auto &it : m_eraListeners)
        it(era);
}

void StoreClient::onEra(std::function<void(uint64_t era)> listener)
{
    m_eraListeners.push_back(std::move(listener));
}

void StoreClient::get(const std::string &key, Callback<StoreItem> done)
{
    m_httpClient.call(
        m_address, platform::encodeGet(key), CallTimeout,
        responseHandler<StoreItem>(std::move(done), EraCheck::AnyEra, platform::decodeItem),
        http::ConnectionMode::Pooled, {}, http::StoreBodyBytes);
}

void StoreClient::list(const std::string &prefix, const std::string &afterKey,
                       Callback<StorePage> done)
{
    m_httpClient.call(
        m_address, platform::encodeList(prefix, afterKey, false), CallTimeout,
        responseHandler<StorePage>(std::move(done), EraCheck::AnyEra, platform::decodeListing),
        http::ConnectionMode::Pooled, {}, http::StoreBodyBytes);
}

void StoreClient::watch(const std::string &prefix, uint64_t afterRevision, Milliseconds wait,
                        Callback<StorePage> done)
{
    m_httpClient.call(
        m_address, platform::encodeWatch(prefix, afterRevision, wait), wait + WatchSlack,
        responseHandler<StorePage>(std::move(done), EraCheck::SameEra, platform::decodeEvents),
        http::ConnectionMode::Pooled, {}, http::StoreBodyBytes);
}

void StoreClient::commit(const StoreCommit &commit, Callback<StoreVersion> done)
{
    m_httpClient.call(
        m_address, platform::encodeCommit(commit), CallTimeout,
        responseHandler<StoreVersion>(std::move(done), EraCheck::SameEra, platform::decodeCommit),
        http::ConnectionMode::Pooled, {}, http::StoreBodyBytes);
}

void StoreClient::grantLease(Milliseconds lifetime, Callback<uint64_t> done)
{
    const auto decode = [](const http::Response &response, uint64_t) {
        return platform::decodeLease(response);
    };
    m_httpClient.call(m_address, platform::encodeLeaseGrant(lifetime), CallTimeout,
                      responseHandler<uint64_t>(std::move(done), EraCheck::SameEra, decode));
}

void StoreClient::renewLease(uint64_t lease, std::function<void(absl::Status)> done)
{
    const auto decode = [](const http::Response &response, uint64_t) -> absl::StatusOr<bool> {
        const absl::Status status = platform::decodeRenewal(response);
        if (!status.ok())
            return status;
        return true;
    };
    m_httpClient.call(
        m_address, platform::encodeLeaseRenewal(lease), CallTimeout,
        responseHandler<bool>(
            [done = std::move(done)](const absl::StatusOr<bool> &result) { done(result.status()); },
            EraCheck::SameEra, decode));
}

} // namespace jujube::serving
