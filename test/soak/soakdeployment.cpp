#include "soak/soakdeployment.h"

#include "core/text.h"
#include "support/deployment.h"

#include <boost/asio/steady_timer.hpp>
#include <cstdio>
#include <unistd.h>

namespace jujube::soak {

namespace {

constexpr uint16_t StorePort = 7001;
constexpr uint16_t PlatformPort = 7002;
constexpr uint16_t StoreRelayPort = 7003;
constexpr uint16_t EndpointPort = 7100;
constexpr uint16_t ClientPort = 7200;
constexpr uint16_t ReadyPort = 7201;
constexpr uint32_t FirstGatewayHost = 10;
constexpr size_t PlainEndpoints = 3;
constexpr size_t ExtraDecodeEngines = 4;
constexpr core::Milliseconds EngineDowntime{1'000};

} // namespace

SoakDeployment::SoakDeployment(boost::asio::io_context &io) : m_io(io)
{
    // A loopback network derived from the process id, so that soak runs can run in parallel.
    const auto pid = static_cast<uint32_t>(getpid());
    constexpr uint32_t hosts = 250;
    m_networkPrefix = core::concat("127.", 1 + pid / hosts % hosts, ".", 1 + pid % hosts, ".");
}

std::string SoakDeployment::address(uint32_t host, uint16_t port) const
{
    return core::concat(m_networkPrefix, host, ":", port);
}

absl::StatusOr<std::unique_ptr<SoakDeployment>> SoakDeployment::create(boost::asio::io_context &io,
                                                                       SoakSettings settings)
{
    std::unique_ptr<SoakDeployment> deployment(new SoakDeployment(io));
    if (absl::Status status = deployment->start(settings); !status.ok())
        return status;
    return deployment;
}

absl::Status SoakDeployment::start(const SoakSettings &settings)
{
    m_store = std::make_unique<test::FakeStore>(m_io);
    m_storeRelay = std::make_unique<FaultRelay>(m_io, address(1, StorePort));
    m_platform = std::make_unique<http::Server>(
        m_io, [this](const http::Request &request, const http::Responder &responder) {
            const auto field = [&](const char *name) {
                return std::string(request.head.fields.find(name).value_or(""));
            };
            m_reports.push_back(
                {field("Duty-Holder"), std::stoull("0" + field("Fence-Token")), request.body});
            http::Head head;
            head.status = http::status::Ok;
            responder.send(head, {});
        });
    for (const absl::Status &status :
         {m_store->listen(address(1, StorePort)), m_storeRelay->listen(address(1, StoreRelayPort)),
          m_platform->listen(address(1, PlatformPort))}) {
        if (!status.ok())
            return status;
    }
    for (size_t i = 0; i < PlainEndpoints; ++i) {
        if (absl::Status status = addEndpoint("app", serving::Stage::None); !status.ok())
            return status;
    }
    for (const serving::Stage stage : {serving::Stage::Prefill, serving::Stage::Decode,
                                       serving::Stage::Prefill, serving::Stage::Decode}) {
        if (absl::Status status = addEndpoint("model", stage); !status.ok())
            return status;
    }
    if (settings.crashingPrompts) {
        // Crashes must leave some engines that decode.
        for (size_t i = 0; i < ExtraDecodeEngines; ++i) {
            if (absl::Status status = addEndpoint("model", serving::Stage::Decode); !status.ok())
                return status;
        }
        for (size_t i = PlainEndpoints; i < m_endpoints.size(); ++i)
            makeCrashable(i);
    }
    publishConfig();
    for (size_t i = 0; i < settings.gateways; ++i) {
        const auto host = static_cast<uint32_t>(FirstGatewayHost + i);
        GatewayConfig config;
        config.name = core::concat("gateway-", i);
        config.ip = core::concat(m_networkPrefix, host);
        config.clientAddress = address(host, ClientPort);
        config.readyAddress = address(host, ReadyPort);
        config.storeAddress = m_storeRelay->address();
        config.platformAddress = address(1, PlatformPort);
        config.retryLimits = m_retryLimits = settings.retryLimits;
        config.quotaRule = settings.quotaRule;
        config.contention = settings.contention;
        config.memoryMb = settings.memoryMb;
        m_gateways.push_back(
            std::make_unique<GatewayProcess>(settings.program, settings.folder, config));
        m_inRotation.push_back(true);
        if (absl::Status status = m_gateways.back()->start(); !status.ok())
            return status;
    }
    return absl::OkStatus();
}

absl::Status SoakDeployment::addEndpoint(const std::string &service, serving::Stage stage)
{
    const auto number = static_cast<uint16_t>(m_endpoints.size());
    SoakedEndpoint it;
    it.service = service;
    it.fake = std::make_unique<test::FakeEndpoint>(m_io, core::concat("i-", number + 1), stage);
    it.fake->setEventCount(StreamEvents);
    it.fake->setEventGap(EventGap);
    const std::string targetAddress = address(2, EndpointPort + number);
    const std::string advertisedAddress = address(3, EndpointPort + number);
    if (absl::Status status = it.fake->listen(targetAddress); !status.ok())
        return status;
    it.relay = std::make_unique<FaultRelay>(m_io, targetAddress);
    if (absl::Status status = it.relay->listen(advertisedAddress); !status.ok())
        return status;
    it.fake->setAdvertisedAddress(advertisedAddress);
    m_endpoints.push_back(std::move(it));
    registerEndpoint(m_endpoints.back());
    return absl::OkStatus();
}

void SoakDeployment::makeCrashable(size_t index)
{
    test::FakeEndpoint &engine = *m_endpoints[index].fake;
    engine.setCrashingBlock(CrashingBlock);
    engine.onCrash([this, index]() { handleCrash(index); });
}

// The entry of the crashed engine stays until it is replaced by that of the next incarnation.
void SoakDeployment::handleCrash(size_t index)
{
    m_crashes.push_back(core::BootClock::now());
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_io, EngineDowntime);
    timer->async_wait([this, index, timer](const boost::system::error_code &ec) {
        SoakedEndpoint &it = m_endpoints[index];
        const std::string state = it.state;
        if (ec)
            return;
        unregisterEndpoint(it);
        m_formerIds.push_back(it.fake->id());
        const absl::Status status =
            it.fake->restart(core::concat("i-", index + 1, "-", m_crashes.size()));
        if (!status.ok())
            std::fprintf(stderr, "soak-gateway: an engine does not start again: %s\n",
                         std::string(status.message()).c_str());
        else if (!state.empty())
            registerEndpoint(it, state);
    });
}

std::vector<std::string> SoakDeployment::clientAddresses() const
{
    std::vector<std::string> addresses;
    for (const auto &it : m_gateways)
        addresses.push_back(it->config().clientAddress);
    return addresses;
}

void SoakDeployment::publishConfig()
{
    ++m_configVersion;
    putConfig();
}

void SoakDeployment::publishTeams(std::string teams)
{
    m_moreTeams = std::move(teams);
    publishConfig();
}

void SoakDeployment::rewriteEntry(size_t writer)
{
    if (writer == m_endpoints.size())
        putConfig();
    else if (SoakedEndpoint &it = m_endpoints[writer]; it.state.empty())
        unregisterEndpoint(it);
    else
        registerEndpoint(it, std::string(it.state));
}

void SoakDeployment::expireFormerEntries()
{
    for (const std::string &id : m_formerIds) {
        if (m_store->items().contains("servers/" + id))
            m_store->erase("servers/" + id);
    }
}

void SoakDeployment::putConfig()
{
    std::string json = test::configJson(m_configVersion, R"(["key-a"])",
                                        static_cast<uint32_t>(RouteTimeout.count()), m_moreTeams);
    for (const auto &[list, items] :
         {std::pair(R"("Routes":[)", m_moreRoutes), std::pair(R"("Services":[)", m_moreServices)})
        json.insert(json.find(list) + std::string_view(list).size(), items);
    m_store->put("op/config", json);
}

void SoakDeployment::publishService(const std::string &name, std::string route)
{
    m_moreRoutes += std::move(route) + ",";
    m_moreServices += core::concat(R"({"Name":")", name, R"("},)");
    publishConfig();
}

void SoakDeployment::refreshEntries()
{
    for (SoakedEndpoint &it : m_endpoints) {
        if (!it.state.empty() && it.fake->stage() != it.publishedStage)
            registerEndpoint(it, std::string(it.state));
    }
}

void SoakDeployment::setSlots(uint32_t slots)
{
    for (SoakedEndpoint &it : m_endpoints) {
        it.fake->setSlots(slots);
        if (!it.state.empty() && it.service == "model")
            registerEndpoint(it, std::string(it.state));
    }
}

void SoakDeployment::registerEndpoint(SoakedEndpoint &endpoint, const std::string &state)
{
    endpoint.state = state;
    endpoint.publishedStage = endpoint.fake->stage();
    m_store->put("servers/" + endpoint.fake->id(),
                 endpoint.fake->makeEntry(endpoint.service, "a", state));
}

void SoakDeployment::unregisterEndpoint(SoakedEndpoint &endpoint)
{
    endpoint.state.clear();
    m_store->erase("servers/" + endpoint.fake->id());
}

} // namespace jujube::soak
