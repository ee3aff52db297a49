#include "soak/site.h"

#include "core/text.h"
#include "support/deployment.h"

#include <unistd.h>

namespace jujube::soak {

namespace {

constexpr uint16_t StorePort = 7001;
constexpr uint16_t PlatformPort = 7002;
constexpr uint16_t StoreRelayPort = 7003;
constexpr uint16_t WorkerPort = 7100;
constexpr uint16_t ClientPort = 7200;
constexpr uint16_t ReadyPort = 7201;
constexpr uint32_t FirstGatewayHost = 10;
constexpr size_t PlainWorkers = 3;

} // namespace

Site::Site(boost::asio::io_context &io) : m_io(io)
{
    // Loopback networks of the own process id, so that several soaks can run side by side.
    const auto pid = static_cast<uint32_t>(getpid());
    constexpr uint32_t hosts = 250;
    m_network = core::concat("127.", 1 + pid / hosts % hosts, ".", 1 + pid % hosts, ".");
}

std::string Site::address(uint32_t host, uint16_t port) const
{
    return core::concat(m_network, host, ":", port);
}

absl::StatusOr<std::unique_ptr<Site>> Site::create(boost::asio::io_context &io,
                                                   SiteSettings settings)
{
    std::unique_ptr<Site> site(new Site(io));
    if (absl::Status status = site->start(settings); !status.ok())
        return status;
    return site;
}

absl::Status Site::start(const SiteSettings &settings)
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
    for (size_t i = 0; i < PlainWorkers; ++i) {
        if (absl::Status status = addEndpoint("app", serving::Stage::None); !status.ok())
            return status;
    }
    for (const serving::Stage stage : {serving::Stage::Prefill, serving::Stage::Decode,
                                       serving::Stage::Prefill, serving::Stage::Decode}) {
        if (absl::Status status = addEndpoint("model", stage); !status.ok())
            return status;
    }
    publishConfig();
    for (size_t i = 0; i < settings.gateways; ++i) {
        const auto host = static_cast<uint32_t>(FirstGatewayHost + i);
        GatewayPlace place;
        place.name = core::concat("gateway-", i);
        place.ip = core::concat(m_network, host);
        place.clientAddress = address(host, ClientPort);
        place.readyAddress = address(host, ReadyPort);
        place.storeAddress = m_storeRelay->address();
        place.platformAddress = address(1, PlatformPort);
        m_gateways.push_back(
            std::make_unique<GatewayProcess>(settings.program, settings.folder, place));
        m_listed.push_back(true);
        if (absl::Status status = m_gateways.back()->start(); !status.ok())
            return status;
    }
    return absl::OkStatus();
}

absl::Status Site::addEndpoint(const std::string &service, serving::Stage stage)
{
    const auto number = static_cast<uint16_t>(m_workers.size());
    SoakedWorker it;
    it.service = service;
    it.worker = std::make_unique<test::FakeEndpoint>(m_io, core::concat("i-", number + 1), stage);
    it.worker->setEventCount(StreamEvents);
    it.worker->setEventGap(EventGap);
    const std::string behind = address(2, WorkerPort + number);
    const std::string shown = address(3, WorkerPort + number);
    if (absl::Status status = it.worker->listen(behind); !status.ok())
        return status;
    it.relay = std::make_unique<FaultRelay>(m_io, behind);
    if (absl::Status status = it.relay->listen(shown); !status.ok())
        return status;
    it.worker->setAddress(shown);
    m_workers.push_back(std::move(it));
    listWorker(m_workers.back());
    return absl::OkStatus();
}

std::vector<std::string> Site::clientAddresses() const
{
    std::vector<std::string> addresses;
    for (const auto &it : m_gateways)
        addresses.push_back(it->place().clientAddress);
    return addresses;
}

void Site::publishConfig()
{
    ++m_configVersion;
    putConfig();
}

void Site::writeAgain(size_t writer)
{
    if (writer == m_workers.size())
        putConfig();
    else if (SoakedWorker &it = m_workers[writer]; it.state.empty())
        unlistWorker(it);
    else
        listWorker(it, std::string(it.state));
}

void Site::putConfig()
{
    m_store->put("op/config",
                 test::configText(m_configVersion, R"(["key-a"])",
                                  static_cast<uint32_t>(RouteTimeout.count())));
}

void Site::refreshEntries()
{
    for (SoakedWorker &it : m_workers) {
        if (!it.state.empty() && it.worker->stage() != it.toldStage)
            listWorker(it, std::string(it.state));
    }
}

void Site::listWorker(SoakedWorker &worker, const std::string &state)
{
    worker.state = state;
    worker.toldStage = worker.worker->stage();
    m_store->put("servers/" + worker.worker->id(),
                 worker.worker->makeEntry(worker.service, "a", state));
}

void Site::unlistWorker(SoakedWorker &worker)
{
    worker.state.clear();
    m_store->erase("servers/" + worker.worker->id());
}

} // namespace jujube::soak
