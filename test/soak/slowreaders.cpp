#include "soak/slowreaders.h"

#include "core/text.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>

namespace jujube::soak {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using core::Milliseconds;
using core::TimePoint;
using ErrorCode = boost::system::error_code;

constexpr uint16_t EndpointPort = 7150;
constexpr uint16_t ReaderPort = 7160;
constexpr uint16_t EarlyEndpointPort = 7170;
constexpr uint32_t EndpointHost = 2;
constexpr size_t SlowEndpoints = 2;
constexpr size_t Clients = 48; // More than the memory of the gateways for requests.
// Longer than the time after which an endpoint that takes nothing is given up.
constexpr Milliseconds TimeLimit{5'000};
constexpr Milliseconds AnswerSlack{500};
constexpr size_t LeastBodyBytes = 20UL << 10U;
constexpr size_t MostBodyBytes = 4'000UL << 10U;
constexpr size_t AnswerBytes = 512UL << 10U;
constexpr int ReceiveBufferBytes = 16 * 1024;
constexpr Milliseconds ReadInterval{50};
constexpr Milliseconds MaxPause{200};
constexpr Milliseconds MaxEarlyWork{3'000};
constexpr double MinQuickShare = 0.97;
constexpr size_t MinQuickRequests = 50;
constexpr Milliseconds MaxQuickMedian{1'700}; // A stream of the load lasts 1.2 s.

const std::string Service = "bulk";

} // namespace

struct SlowReaders::Client
{
    explicit Client(asio::io_context &io) : socket(io), timer(io) { }

    tcp::socket socket;
    asio::steady_timer timer;
    Call *call = nullptr;
    std::string request;
    std::string head; ///< First bytes of the answer.
    std::array<char, 64UL << 10U> buffer{};
    size_t bytesPerRead = 0;
};

SlowReaders::SlowReaders(asio::io_context &io, SoakDeployment &deployment, uint64_t seed)
    : m_io(io), m_deployment(deployment), m_random(seed), m_seed(seed), m_timer(io)
{
    m_memory.invariant =
        core::concat("the memory of each gateway stays below ", GatewayMemoryMb, " MB");
}

SlowReaders::~SlowReaders() = default;

absl::Status SlowReaders::create()
{
    for (size_t i = 0; i <= SlowEndpoints; ++i) {
        auto endpoint = std::make_unique<test::FakeEndpoint>(m_io, core::concat("bulk-", i),
                                                             serving::Stage::None);
        endpoint->setBodySize(AnswerBytes);
        endpoint->setKeepsBodies(false);
        const auto port = static_cast<uint16_t>(EndpointPort + i);
        if (absl::Status status = endpoint->listen(m_deployment.address(EndpointHost, port));
            !status.ok())
            return status;
        if (i < SlowEndpoints) {
            const std::string address =
                m_deployment.address(EndpointHost, static_cast<uint16_t>(ReaderPort + i));
            m_readers.push_back(std::make_unique<test::SlowReader>(m_io, endpoint->address(), 1e6));
            if (!m_readers.back()->listen(address))
                return absl::UnavailableError("cannot listen on " + address);
            endpoint->setAdvertisedAddress(address);
        }
        m_deployment.store().put("servers/" + endpoint->id(), endpoint->makeEntry(Service, "a"));
        m_endpoints.push_back(std::move(endpoint));
    }
    m_earlyEndpoint = std::make_unique<test::RawEndpoint>(
        m_io, m_deployment.address(EndpointHost, EarlyEndpointPort));
    m_deployment.store().put("servers/bulk-early", m_earlyEndpoint->makeEntry(Service));
    m_deployment.publishService(
        Service,
        core::concat(R"({"Name":"bulk","Host":"test.example","PathPrefix":"/bulk/",)",
                     R"("Kind":"non_idempotent","Service":"bulk","TimeoutMs":)", TimeLimit.count(),
                     R"(,"TargetLatencyMs":300,"Priority":1,"TargetGapMs":200})"));
    return absl::OkStatus();
}

void SlowReaders::start()
{
    changeRates();
    for (size_t i = 0; i < Clients; ++i) {
        m_clients.push_back(std::make_shared<Client>(m_io));
        end(m_clients.back());
    }
}

void SlowReaders::stop()
{
    m_stopped = true;
    m_timer.cancel();
    for (const auto &it : m_readers)
        it->setRate(1e9);
}

void SlowReaders::changeRates()
{
    const std::array<double, 5> rates{0, 0, 4'000, 40'000, 1e9};
    std::uniform_int_distribution<size_t> choice(0, rates.size() - 1);
    for (const auto &it : m_readers)
        it->setRate(rates.at(choice(m_random)));
    changeEarlyAnswer();
    std::uniform_int_distribution<int64_t> time(1'000, 5'000);
    m_timer.expires_after(Milliseconds(time(m_random)));
    m_timer.async_wait([this](const ErrorCode &ec) {
        if (!ec)
            changeRates();
    });
}

void SlowReaders::changeEarlyAnswer()
{
    using test::AfterAnswer;
    constexpr std::array<AfterAnswer, 5> ends{AfterAnswer::KeepsOpen, AfterAnswer::ReadsOn,
                                              AfterAnswer::Closes, AfterAnswer::Resets,
                                              AfterAnswer::ShutsDown};
    const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: x\r\n";
    const std::array<std::string, 4> answers{
        "", head + "Content-Length: 5\r\n\r\nearly", head + "\r\npart of an answer",
        "HTTP/1.1 000 Odd\r\nRequest-Id: {id}\r\nServer-Seal: x\r\nContent-Length: 0\r\n\r\n"};
    std::uniform_int_distribution<size_t> end(0, ends.size() - 1);
    std::uniform_int_distribution<size_t> answer(0, answers.size() - 1);
    m_earlyEndpoint->setAnswer(answers.at(answer(m_random)), ends.at(end(m_random)));
    std::uniform_int_distribution<int64_t> time(0, MaxEarlyWork.count());
    m_earlyEndpoint->setWorkTime(Milliseconds(time(m_random)));
}

// Each call has a connection of its own, which the gateway closes after the answer.
void SlowReaders::call(const std::shared_ptr<Client> &client)
{
    const auto gateways = m_deployment.gateways().size();
    std::uniform_int_distribution<size_t> gateway(0, gateways - 1);
    std::uniform_int_distribution<size_t> size(LeastBodyBytes, MostBodyBytes);
    const std::array<size_t, 3> bytesPerRead{500, 5'000, client->buffer.size()};
    std::uniform_int_distribution<size_t> rate(0, bytesPerRead.size() - 1);
    const size_t bodyBytes = size(m_random);
    Call &call = m_calls.emplace_back();
    call.id = core::concat("bulk", m_seed, "-", m_calls.size());
    call.gateway = gateway(m_random);
    client->call = &call;
    client->bytesPerRead = bytesPerRead.at(rate(m_random));
    client->head.clear();
    client->request = core::concat("POST /bulk/1 HTTP/1.1\r\nHost: test.example\r\nX-Api-Key: "
                                   "key-a\r\nConnection: close\r\nRequest-Id: ",
                                   call.id, "\r\nContent-Length: ", bodyBytes, "\r\n\r\n");
    client->request.append(bodyBytes, 'x');
    client->socket = tcp::socket(m_io);
    const std::string &address = m_deployment.gateways()[call.gateway]->config().clientAddress;
    const size_t colon = address.rfind(':');
    const tcp::endpoint target(asio::ip::make_address(address.substr(0, colon)),
                               static_cast<uint16_t>(std::stoi(address.substr(colon + 1))));
    ErrorCode ignored;
    client->socket.open(target.protocol(), ignored);
    client->socket.set_option(asio::socket_base::receive_buffer_size(ReceiveBufferBytes), ignored);
    client->socket.async_connect(target, [this, client](const ErrorCode &ec) {
        if (ec) {
            end(client);
            return;
        }
        readSome(client);
        asio::async_write(client->socket, asio::buffer(client->request),
                          [client, call = client->call](const ErrorCode &writeError, size_t) {
                              call->sentAt = core::BootClock::now();
                              call->sent = !writeError;
                          });
    });
}

void SlowReaders::readSome(const std::shared_ptr<Client> &client)
{
    client->socket.async_read_some(
        asio::buffer(client->buffer.data(), client->bytesPerRead),
        [this, client](const ErrorCode &ec, size_t n) {
            constexpr std::string_view start = "HTTP/1.1 ";
            constexpr size_t digits = 3;
            if (client->head.size() < start.size() + digits)
                client->head.append(client->buffer.data(), n);
            if (n > 0 && client->call->answerBytes == 0)
                client->call->headAt = core::BootClock::now();
            client->call->answerBytes += n;
            if (client->call->status == 0 && client->head.size() >= start.size() + digits
                && client->head.starts_with(start))
                client->call->status =
                    static_cast<uint32_t>(std::stoul(client->head.substr(start.size(), digits)));
            if (ec) {
                end(client);
                return;
            }
            client->timer.expires_after(ReadInterval);
            client->timer.async_wait([this, client](const ErrorCode &waitError) {
                if (!waitError)
                    readSome(client);
            });
        });
}

// Ends the client's call, if it has one, and begins the next one after a pause.
void SlowReaders::end(const std::shared_ptr<Client> &client)
{
    ErrorCode ignored;
    client->socket.close(ignored);
    if (client->call)
        std::exchange(client->call, nullptr)->ended = true;
    std::uniform_int_distribution<int64_t> pause(1, MaxPause.count());
    client->timer.expires_after(Milliseconds(pause(m_random)));
    client->timer.async_wait([this, client](const ErrorCode &ec) {
        if (!ec && !m_stopped)
            call(client);
    });
}

void SlowReaders::noteMemory()
{
    for (const auto &it : m_deployment.gateways()) {
        const size_t bytes = it->highestResidentBytes();
        if (bytes == 0)
            continue;
        ++m_memory.examinedCount;
        if (bytes > std::max(m_highestResident, GatewayMemoryMb * 1'000'000))
            m_memory.breaches.push_back(core::concat(it->config().name, " used ", bytes, " bytes"));
        m_highestResident = std::max(m_highestResident, bytes);
    }
}

size_t SlowReaders::runCount(const std::string &id) const
{
    size_t runs = 0;
    for (const auto &it : m_endpoints)
        runs += it->runCount(id);
    return runs + m_earlyEndpoint->runCount(id);
}

InvariantResult SlowReaders::checkRuns() const
{
    InvariantResult result;
    result.invariant = "a large request runs once at most, whatever its endpoint takes of it";
    for (const Call &it : m_calls) {
        ++result.examinedCount;
        if (const size_t runs = runCount(it.id); runs > 1)
            result.breaches.push_back(core::concat(it.id, " has run ", runs, " times"));
    }
    return result;
}

InvariantResult SlowReaders::checkStatus() const
{
    InvariantResult result;
    result.invariant = "a large request that is refused as not run has not run";
    for (const Call &it : m_calls) {
        if (it.status != http::status::ServiceUnavailable
            && it.status != http::status::TooManyRequests)
            continue;
        ++result.examinedCount;
        if (runCount(it.id) > 0)
            result.breaches.push_back(core::concat(it.id, " has run, status ", it.status));
    }
    return result;
}

InvariantResult SlowReaders::checkTimes() const
{
    InvariantResult result;
    result.invariant = "a large request has its answer, or the begin of it, within its limit";
    const TimePoint now = core::BootClock::now();
    for (const Call &it : m_calls) {
        const TimePoint due = it.sentAt + TimeLimit + AnswerSlack;
        if (!it.sent || now < due
            || !m_deployment.disturbances().undisturbed(it.gateway, it.sentAt, due))
            continue;
        ++result.examinedCount;
        if (it.headAt == TimePoint{} ? runCount(it.id) > 0 || !it.ended : it.headAt > due)
            result.breaches.push_back(core::concat(it.id, " at gateway-", it.gateway, ", status ",
                                                   it.status, ", runs ", runCount(it.id)));
    }
    return result;
}

InvariantResult SlowReaders::checkQuickRequests(const LoadGenerator &load) const
{
    InvariantResult result;
    result.invariant = "quick requests are answered beside slow readers";
    std::vector<Milliseconds> times;
    size_t answered = 0;
    for (const RequestRecord &it : load.records()) {
        if (!it.ended || it.disconnected
            || !m_deployment.disturbances().pathUndisturbed(it.gateway, it.sentAt, it.endedAt))
            continue;
        ++result.examinedCount;
        times.push_back(std::chrono::duration_cast<Milliseconds>(it.endedAt - it.sentAt));
        answered += http::status::isSuccess(it.status) && it.complete ? 1 : 0;
    }
    if (times.size() < MinQuickRequests)
        return result;
    std::nth_element(times.begin(), times.begin() + static_cast<long>(times.size() / 2),
                     times.end());
    const Milliseconds median = times[times.size() / 2];
    if (static_cast<double>(answered) < MinQuickShare * static_cast<double>(times.size())
        || median > MaxQuickMedian)
        result.breaches.push_back(core::concat(answered, " of ", times.size(), " answered, median ",
                                               median.count(), " ms"));
    return result;
}

std::vector<InvariantResult> SlowReaders::check(const LoadGenerator &load) const
{
    InvariantResult memory = m_memory;
    memory.invariant += core::concat(" (highest: ", m_highestResident / 1'000'000, ")");
    return {checkRuns(), checkStatus(), checkTimes(), checkQuickRequests(load), memory};
}

} // namespace jujube::soak
