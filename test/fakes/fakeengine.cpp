/** \file
 * Program fake-engine: fake of a model engine with continuous batching.
 *
 * Each step decodes one token for every running request that is prefilled, and prefills a chunk of
 * the others. Faults in addition to those of FakeServer:
 * - crash: closes all connections, stays down for crash_ms, then starts in the mixed role with an
 *   empty cache.
 * - silence: streams that are open now get no further bytes; new connections work.
 */

#include "core/text.h"
#include "fakes/fakeserver.h"
#include "jujubereplay/enginemodel.h"
#include "policy/prefixindex.h"
#include "support/expectedtext.h"

#include <gflags/gflags.h>
#include <QCoreApplication>
#include <QTimer>

#include <algorithm>
#include <deque>
#include <list>

DEFINE_string(listen, "127.0.0.1:7200", "address to serve on");
DEFINE_string(name, "engine", "name in the event log");
DEFINE_double(prefill_rate, 20'000, "prefill rate in prompt tokens per second");
DEFINE_double(step_ms, 8, "fixed time of a decode step in milliseconds");
DEFINE_double(step_per_request_ms, 0.2,
              "milliseconds that each decoding request adds to a decode step");
DEFINE_int32(slots, 16, "maximum number of requests in a batch");
DEFINE_int32(kv_pieces, 256, "size of the KV memory in pieces of 1,024 tokens");
DEFINE_int32(cache_blocks, 2'000, "size of the prefix cache in blocks of 64 tokens");
DEFINE_int32(role_change_ms, 1'500, "duration of a role change in milliseconds");
DEFINE_int32(load_lag_ms, 300, "age in milliseconds of the published load and cache events");
DEFINE_bool(fencing, true, "refuse orders with an outdated term and sequence");

namespace {

using namespace jujube;
using test::ExchangePtr;

// Prompt tokens that are prefilled in one step, along with its decode work.
constexpr double PrefillChunkTokens = 512;
constexpr int KeepAliveMs = 400;
constexpr int RestartPollMs = 50;
constexpr int UnpublishedEventInterval = 10; // Every tenth cache event is lost.

struct Request
{
    std::string id;
    uint64_t promptHash = 0;
    uint32_t promptTokens = 0;
    uint32_t cachedTokens = 0;
    double prefillTokensLeft = 0;
    uint32_t producedTokens = 0; ///< Includes resumedTokens.
    uint32_t resumedTokens = 0;
    uint32_t maxTokens = 0;
    uint32_t priority = 0;
    uint32_t kvPieces = 0;
    std::vector<uint64_t> blocks;
    ExchangePtr exchange;
    bool running = false;
    bool silent = false;
    int64_t lastWriteUs = 0;
};

class FakeEngine
{
public:
    FakeEngine()
        : m_server(FLAGS_name,
                   [this](const wire::IncomingRequest &request, const ExchangePtr &exchange) {
                       handle(request, exchange);
                   }),
          m_cache(FLAGS_cache_blocks)
    {
        m_server.onFaults([this](const QJsonObject &faults) { applyFaults(faults); });
    }

    int run() { return m_server.run(FLAGS_listen); }

private:
    void handle(const wire::IncomingRequest &request, const ExchangePtr &exchange)
    {
        if (!m_started) {
            m_started = true;
            step();
        }
        if (m_crashed) {
            exchange->abort();
            return;
        }
        const auto object = wire::parseObject(request.body.empty() ? "{}" : request.body);
        const QJsonObject body = object.ok() ? *object : QJsonObject();
        if (request.path == "/v1/generate") {
            generate(request, body, exchange);
        } else if (request.path == "/v1/cancel") {
            cancel(wire::stringMember(body, "request_id"));
            m_server.respond(exchange, 200, {});
        } else if (request.path == "/v1/state") {
            m_server.respond(exchange, 200, state());
        } else if (request.path == "/v1/orders") {
            handleOrder(body, exchange);
        } else if (request.path == "/v1/cache-events") {
            cacheEvents(request, exchange);
        } else {
            m_server.respond(exchange, 404, {});
        }
    }

    void generate(const wire::IncomingRequest &request, const QJsonObject &body,
                  const ExchangePtr &exchange)
    {
        if (m_roleChanging) {
            m_server.respond(exchange, 503, {{"error", "changing role"}});
            return;
        }
        const std::string prompt = wire::stringMember(body, "prompt");
        auto it = std::make_shared<Request>();
        it->id = wire::stringMember(body, "request_id");
        it->promptHash = test::promptHash(prompt);
        it->promptTokens = core::estimatedTokenCount(prompt);
        it->blocks = policy::prefixBlocks(prompt);
        it->cachedTokens = std::min(m_cache.cachedTokens("", it->blocks), it->promptTokens);
        it->resumedTokens = static_cast<uint32_t>(wire::uintMember(body, "resume_tokens"));
        it->producedTokens = it->resumedTokens;
        it->maxTokens = static_cast<uint32_t>(wire::uintMember(body, "max_tokens"));
        it->priority = static_cast<uint32_t>(wire::uintMember(body, "priority"));
        it->prefillTokensLeft = it->promptTokens - it->cachedTokens + it->resumedTokens;
        it->kvPieces = (it->promptTokens + it->maxTokens) / core::KvPieceTokens + 1;
        it->exchange = exchange;
        m_server.record("engine.start",
                        {{"request_id", wire::qstring(it->id)},
                         {"resumed", static_cast<int>(it->resumedTokens)},
                         {"authorization", wire::qstring(request.header("Authorization"))}});
        exchange->begin(200, "application/x-ndjson");
        // A resumed request that already has all of its tokens ends after its prefill without
        // output.
        m_requests.push_back(it);
    }

    void cancel(const std::string &id)
    {
        const auto it = std::find_if(m_requests.begin(), m_requests.end(),
                                     [&id](const auto &request) { return request->id == id; });
        if (it == m_requests.end())
            return;
        finish(**it, false);
        m_requests.erase(it);
    }

    QJsonObject state()
    {
        QJsonObject object;
        object["role"] = wire::qstring(core::roleName(m_role));
        object["ready"] = !m_roleChanging;
        object["slots"] = FLAGS_slots;
        object["last_term"] = wire::jsonNumber(m_lastTerm);
        object["last_sequence"] = wire::jsonNumber(m_lastSequence);
        // The published load is load_lag_ms old.
        const int64_t visibleUs = test::nowUs() - int64_t(FLAGS_load_lag_ms) * 1'000;
        while (m_loadSamples.size() > 1 && m_loadSamples[1].atUs <= visibleUs)
            m_loadSamples.pop_front();
        object["free_kv_pieces"] =
            m_loadSamples.empty() ? FLAGS_kv_pieces : m_loadSamples.front().freeKvPieces;
        object["running"] = m_loadSamples.empty() ? 0 : m_loadSamples.front().running;
        return object;
    }

    void handleOrder(const QJsonObject &body, const ExchangePtr &exchange)
    {
        const uint64_t term = wire::uintMember(body, "term");
        const uint64_t sequence = wire::uintMember(body, "sequence");
        const bool outdated = std::tie(term, sequence) < std::tie(m_lastTerm, m_lastSequence);
        if (outdated && FLAGS_fencing) {
            m_server.record("engine.order.refused", body);
            m_server.respond(exchange, 409,
                             {{"error", "an order with a newer number came before"}});
            return;
        }
        QJsonObject details = body;
        details["during_change"] = m_roleChanging;
        details["cut_requests"] = static_cast<int>(m_requests.size());
        m_server.record("engine.order", details);
        m_lastTerm = term;
        m_lastSequence = sequence;
        abortAll();
        m_roleChanging = true;
        const core::Role role = core::roleFromName(wire::stringMember(body, "role"));
        const int crashCount = m_crashCount;
        QTimer::singleShot(FLAGS_role_change_ms, [this, role, crashCount]() {
            if (crashCount != m_crashCount)
                return;
            m_roleChanging = false;
            m_role = role;
            m_server.record("engine.role", {{"role", wire::qstring(core::roleName(role))}});
        });
        m_server.respond(exchange, 202, {});
    }

    void cacheEvents(const wire::IncomingRequest &request, const ExchangePtr &exchange)
    {
        const auto after = std::strtoll(request.queryValue("after").c_str(), nullptr, 10);
        QJsonArray events;
        for (const CacheEvent &it : m_cacheEvents) {
            const bool late = test::nowUs() - it.atUs < int64_t(FLAGS_load_lag_ms) * 1'000;
            if (it.eventNumber > after && !late && it.eventNumber % UnpublishedEventInterval != 0)
                events.append(QJsonObject{{"number", static_cast<qint64>(it.eventNumber)},
                                          {"block", QString::number(it.block)}});
        }
        m_server.respond(exchange, 200, {{"events", events}});
    }

    // Runs one step of the batch and schedules the next one after the modelled duration of this
    // one.
    void step()
    {
        if (m_crashed) {
            QTimer::singleShot(RestartPollMs, Qt::PreciseTimer, [this]() { step(); });
            return;
        }
        admit();
        const replay::RoleFactors speed = replay::roleFactors(m_role);
        double chunkTokens = PrefillChunkTokens * speed.prefillRateFactor;
        double prefilled = 0;
        int decoding = 0;
        std::vector<std::shared_ptr<Request>> finished;
        for (const auto &it : m_requests) {
            if (!it->running)
                continue;
            if (it->prefillTokensLeft > 0) {
                const double part = std::min(chunkTokens, it->prefillTokensLeft);
                it->prefillTokensLeft -= part;
                chunkTokens -= part;
                prefilled += part;
                if (it->prefillTokensLeft <= 0)
                    cachePrompt(*it);
                continue;
            }
            ++decoding;
            if (it->producedTokens < it->maxTokens)
                produce(*it);
            if (it->producedTokens >= it->maxTokens)
                finished.push_back(it);
        }
        for (const auto &it : finished) {
            finish(*it, true);
            m_requests.remove(it);
        }
        keepAlive();
        for (const auto &it : m_requests) {
            if (!it->exchange->connected())
                recordEnd(*it, false);
        }
        m_requests.remove_if([](const auto &it) { return !it->exchange->connected(); });
        recordLoad();
        const double decodeMs = decoding == 0
            ? 0
            : (FLAGS_step_ms + FLAGS_step_per_request_ms * decoding) * speed.stepTimeFactor;
        const double prefillMs = prefilled * 1'000 / (FLAGS_prefill_rate * speed.prefillRateFactor);
        const double total = std::max(2.0, decodeMs + prefillMs);
        QTimer::singleShot(static_cast<int>(total), Qt::PreciseTimer, [this]() { step(); });
    }

    void admit()
    {
        m_requests.sort([](const auto &a, const auto &b) {
            return std::make_tuple(!a->running, -static_cast<int>(a->priority))
                < std::make_tuple(!b->running, -static_cast<int>(b->priority));
        });
        int running = 0;
        uint32_t kvPieces = 0;
        for (const auto &it : m_requests) {
            if (it->running) {
                ++running;
                kvPieces += it->kvPieces;
            }
        }
        for (const auto &it : m_requests) {
            if (it->running)
                continue;
            if (running >= FLAGS_slots
                || (running > 0
                    && kvPieces + it->kvPieces > static_cast<uint32_t>(FLAGS_kv_pieces)))
                break;
            it->running = true;
            ++running;
            kvPieces += it->kvPieces;
        }
        m_freeKvPieces = FLAGS_kv_pieces - static_cast<int>(kvPieces);
        m_runningCount = running;
    }

    void produce(Request &request)
    {
        const std::string text = test::expectedToken(request.promptHash, request.producedTokens);
        ++request.producedTokens;
        write(request, {{"text", wire::qstring(text)}, {"tokens", 1}});
    }

    void finish(Request &request, bool complete)
    {
        QJsonObject last;
        last["done"] = complete;
        last["prompt_tokens"] = static_cast<int>(request.promptTokens);
        last["cached_tokens"] = static_cast<int>(request.cachedTokens);
        last["output_tokens"] = static_cast<int>(request.producedTokens - request.resumedTokens);
        write(request, last);
        recordEnd(request, complete);
        if (!request.silent)
            request.exchange->end();
    }

    void recordEnd(const Request &request, bool complete)
    {
        m_server.record(
            "engine.end",
            {{"request_id", wire::qstring(request.id)},
             {"whole", complete},
             {"prompt_tokens", static_cast<int>(request.promptTokens)},
             {"produced", static_cast<int>(request.producedTokens - request.resumedTokens)}});
    }

    void abortAll()
    {
        for (const auto &it : m_requests) {
            recordEnd(*it, false);
            it->exchange->abort();
        }
        m_requests.clear();
    }

    void write(Request &request, const QJsonObject &line)
    {
        if (request.silent)
            return;
        request.exchange->write(wire::toJsonText(line) + "\n");
        request.lastWriteUs = test::nowUs();
    }

    void keepAlive()
    {
        const int64_t now = test::nowUs();
        for (const auto &it : m_requests) {
            if (!it->silent && now - it->lastWriteUs > int64_t(KeepAliveMs) * 1'000) {
                it->exchange->write("\n");
                it->lastWriteUs = now;
            }
        }
    }

    void cachePrompt(Request &request)
    {
        m_cache.record("", request.blocks);
        for (const uint64_t block : request.blocks)
            m_cacheEvents.push_back({++m_lastCacheEvent, block, test::nowUs()});
        while (m_cacheEvents.size() > 10'000)
            m_cacheEvents.pop_front();
    }

    void recordLoad()
    {
        m_loadSamples.push_back({test::nowUs(), m_freeKvPieces, m_runningCount});
        if (m_loadSamples.size() > 4'000)
            m_loadSamples.pop_front();
    }

    void applyFaults(const QJsonObject &faults)
    {
        if (faults.value("crash").toBool()) {
            abortAll();
            m_crashed = true;
            ++m_crashCount;
            const int downMs = static_cast<int>(m_server.fault("crash_ms", 2'000));
            QTimer::singleShot(downMs, [this]() {
                m_crashed = false;
                m_roleChanging = false;
                m_role = core::Role::Mixed;
                m_lastTerm = 0;
                m_lastSequence = 0;
                m_cache = policy::PrefixIndex(FLAGS_cache_blocks);
                m_server.record("engine.restarted", {});
            });
        }
        if (faults.value("silence").toBool()) {
            // The fault applies only to requests that are open now, so it is reset for new ones.
            m_server.setFault("silence", 0);
            for (const auto &it : m_requests)
                it->silent = true;
        }
    }

    struct LoadSample
    {
        int64_t atUs = 0;
        int freeKvPieces = 0;
        int running = 0;
    };
    struct CacheEvent
    {
        int64_t eventNumber = 0;
        uint64_t block = 0;
        int64_t atUs = 0;
    };

    test::FakeServer m_server;
    policy::PrefixIndex m_cache;
    std::list<std::shared_ptr<Request>> m_requests;
    std::deque<LoadSample> m_loadSamples;
    std::deque<CacheEvent> m_cacheEvents;
    int64_t m_lastCacheEvent = 0;
    core::Role m_role = core::Role::Mixed;
    uint64_t m_lastTerm = 0;
    uint64_t m_lastSequence = 0;
    int m_freeKvPieces = 0;
    int m_runningCount = 0;
    int m_crashCount = 0;
    bool m_started = false;
    bool m_roleChanging = false;
    bool m_crashed = false;
};

} // namespace

int main(int argc, char *argv[])
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    QCoreApplication app(argc, argv);
    FakeEngine engine;
    return engine.run();
}
