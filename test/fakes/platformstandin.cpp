#include "fakes/platformstandin.h"

#include "core/text.h"

#include <QTimer>

#include <list>
#include <map>
#include <set>

namespace jujube::test {

namespace {

struct KvEntry
{
    std::string value;
    uint64_t revision = 0;
    bool deleted = false;
    std::string lease;
};

struct Lease
{
    core::TimePoint until{};
    core::Milliseconds ttl{};
};

struct Watch
{
    std::string prefix;
    uint64_t after = 0;
    ExchangePtr exchange;
    core::TimePoint until{};
};

} // namespace

class FakePlatform::State
{
public:
    explicit State(FakePlatformOptions options)
        : m_options(options),
          m_server("platform",
                   [this](const wire::IncomingRequest &request, const ExchangePtr &exchange) {
                       handle(request, exchange);
                   })
    {
        m_server.onFaults([this](const QJsonObject &faults) { applyFaults(faults); });
    }

    FakeServer &server() { return m_server; }

private:
    void handle(const wire::IncomingRequest &request, const ExchangePtr &exchange)
    {
        if (!m_started) {
            m_started = true;
            tick();
        }
        const auto object = wire::parseObject(request.body.empty() ? "{}" : request.body);
        const QJsonObject body = object.ok() ? *object : QJsonObject();
        const bool isKv = request.path.starts_with("/v1/kv") || request.path == "/v1/watch"
            || request.path.starts_with("/v1/leases");
        if (isKv) {
            ++m_kvCalls;
            if (m_server.fault("kv_outage") != 0) {
                exchange->abort();
                return;
            }
            handleKv(request, body, exchange);
            return;
        }
        handlePlatformCall(request, body, exchange);
    }

    // Key-value service

    void handleKv(const wire::IncomingRequest &request, const QJsonObject &body,
                  const ExchangePtr &exchange)
    {
        expireLeases();
        if (request.path == "/v1/kv" && request.method == "GET") {
            const std::string prefix = request.queryValue("prefix");
            if (prefix.empty())
                respondKv(exchange, 200, entryJson(request.queryValue("key")));
            else
                respondKv(exchange, 200, listingJson(prefix, 0, false));
        } else if (request.path == "/v1/kv") {
            put(body, exchange);
        } else if (request.path == "/v1/kv/delete") {
            remove(body, exchange);
        } else if (request.path == "/v1/watch") {
            watch(request, exchange);
        } else if (request.path == "/v1/leases") {
            const std::string id = "lease-" + std::to_string(++m_leaseCount);
            const core::Milliseconds ttl(static_cast<int64_t>(wire::uintMember(body, "ttl_ms")));
            m_leases[id] = {core::BootClock::now() + ttl, ttl};
            respondKv(exchange, 200, {{"lease", wire::qstring(id)}}, true);
        } else if (request.path == "/v1/leases/renew") {
            const auto it = m_leases.find(wire::stringMember(body, "lease"));
            if (it == m_leases.end()) {
                respondKv(exchange, 404, {{"error", "lapsed"}});
                return;
            }
            it->second.until = core::BootClock::now() + it->second.ttl;
            respondKv(exchange, 200, {}, true);
        } else if (request.path == "/v1/leases/revoke") {
            removeLease(wire::stringMember(body, "lease"));
            respondKv(exchange, 200, {}, true);
        }
    }

    void put(const QJsonObject &body, const ExchangePtr &exchange)
    {
        const std::string key = wire::stringMember(body, "key");
        const std::string lease = wire::stringMember(body, "lease");
        KvEntry &value = m_entries[key];
        const uint64_t currentRevision = value.deleted ? 0 : value.revision;
        const bool leaseGone = !lease.empty() && !m_leases.contains(lease);
        if (currentRevision != wire::uintMember(body, "expected") || leaseGone) {
            respondKv(exchange, leaseGone ? 404 : 409,
                      {{"revision", wire::jsonNumber(currentRevision)}});
            return;
        }
        value = {wire::stringMember(body, "value"), ++m_revision, false, lease};
        m_server.record("kv.put",
                        {{"key", wire::qstring(key)},
                         {"value", wire::qstring(value.value)},
                         {"revision", wire::jsonNumber(m_revision)}});
        respondKv(exchange, 200, {{"revision", wire::jsonNumber(m_revision)}}, true);
        notifyWatches(key);
    }

    void remove(const QJsonObject &body, const ExchangePtr &exchange)
    {
        const std::string key = wire::stringMember(body, "key");
        const auto it = m_entries.find(key);
        if (it == m_entries.end() || it->second.deleted
            || it->second.revision != wire::uintMember(body, "expected")) {
            respondKv(exchange, 409, {});
            return;
        }
        erase(key);
        respondKv(exchange, 200, {}, true);
    }

    void erase(const std::string &key)
    {
        m_entries[key] = {"", ++m_revision, true, ""};
        m_server.record("kv.delete",
                        {{"key", wire::qstring(key)}, {"revision", wire::jsonNumber(m_revision)}});
        notifyWatches(key);
    }

    void watch(const wire::IncomingRequest &request, const ExchangePtr &exchange)
    {
        Watch watch;
        watch.prefix = request.queryValue("prefix");
        watch.after = std::strtoull(request.queryValue("after").c_str(), nullptr, 10);
        watch.exchange = exchange;
        watch.until = core::BootClock::now()
            + core::Milliseconds(std::atoi(request.queryValue("timeout_ms").c_str()));
        const QJsonObject now = listingJson(watch.prefix, watch.after, true);
        if (!now["entries"].toArray().isEmpty() || watch.until <= core::BootClock::now()) {
            respondKv(exchange, 200, now);
            return;
        }
        m_watches.push_back(watch);
    }

    void notifyWatches(const std::string &key)
    {
        for (auto it = m_watches.begin(); it != m_watches.end();) {
            if (!key.starts_with(it->prefix)) {
                ++it;
                continue;
            }
            respondKv(it->exchange, 200, listingJson(it->prefix, it->after, true));
            it = m_watches.erase(it);
        }
    }

    QJsonObject entryJson(const std::string &key) const
    {
        QJsonObject object{{"key", wire::qstring(key)}, {"value", ""}, {"revision", 0}};
        const auto it = m_entries.find(key);
        if (it == m_entries.end())
            return object;
        object["value"] = wire::qstring(it->second.value);
        object["revision"] = wire::jsonNumber(it->second.deleted ? 0 : it->second.revision);
        return object;
    }

    QJsonObject listingJson(const std::string &prefix, uint64_t after, bool withDeleted) const
    {
        QJsonArray entries;
        for (auto it = m_entries.lower_bound(prefix); it != m_entries.end(); ++it) {
            if (!it->first.starts_with(prefix))
                break;
            if (it->second.revision <= after || (it->second.deleted && !withDeleted))
                continue;
            QJsonObject object = entryJson(it->first);
            object["revision"] = wire::jsonNumber(it->second.revision);
            object["deleted"] = it->second.deleted;
            entries.append(object);
        }
        return {{"entries", entries}, {"revision", wire::jsonNumber(m_revision)}};
    }

    void respondKv(const ExchangePtr &exchange, int status, const QJsonObject &body,
                   bool isWrite = false)
    {
        const bool loseResponse = isWrite && m_server.fault("kv_lose_answers") != 0;
        const bool unreachable = m_server.fault("kv_outage") != 0;
        if (loseResponse || unreachable) {
            exchange->abort();
            return;
        }
        const int delay = static_cast<int>(m_server.fault("kv_delay_ms"));
        if (delay == 0) {
            m_server.respond(exchange, status, body);
            return;
        }
        QTimer::singleShot(
            delay, [this, exchange, status, body]() { m_server.respond(exchange, status, body); });
    }

    void expireLeases()
    {
        const core::TimePoint now = core::BootClock::now();
        std::vector<std::string> expired;
        for (const auto &[id, lease] : m_leases) {
            if (lease.until < now)
                expired.push_back(id);
        }
        for (const std::string &id : expired)
            removeLease(id);
    }

    void removeLease(const std::string &id)
    {
        if (m_leases.erase(id) == 0)
            return;
        std::vector<std::string> keys;
        for (const auto &[key, value] : m_entries) {
            if (value.lease == id && !value.deleted)
                keys.push_back(key);
        }
        for (const std::string &key : keys)
            erase(key);
    }

    void tick()
    {
        expireLeases();
        const core::TimePoint now = core::BootClock::now();
        for (auto it = m_watches.begin(); it != m_watches.end();) {
            if (it->until > now) {
                ++it;
                continue;
            }
            respondKv(it->exchange, 200, listingJson(it->prefix, it->after, true));
            it = m_watches.erase(it);
        }
        QTimer::singleShot(20, [this]() { tick(); });
    }

    // Endpoints, VMs, reports and weights

    void handlePlatformCall(const wire::IncomingRequest &request, const QJsonObject &body,
                            const ExchangePtr &exchange)
    {
        if (request.path == "/v1/endpoints/orders" && request.method == "POST") {
            const std::string id = wire::stringMember(body, "order_id");
            m_server.record("fleet.order", body);
            m_orderIds.insert(id);
            if (wire::stringMember(body, "action") == "remove")
                markVmLeaving(wire::stringMember(body, "vm"));
            acknowledge(exchange);
        } else if (request.path == "/v1/endpoints/orders") {
            const bool known = m_orderIds.contains(request.queryValue("order_id"));
            m_server.respond(exchange, known ? 200 : 404, {});
        } else if (request.path == "/v1/usage/reports" && request.method == "POST") {
            m_server.record("usage.report", body);
            m_reportNames.insert(
                reportName(wire::stringMember(body, "team"), wire::uintMember(body, "window")));
            acknowledge(exchange);
        } else if (request.path == "/v1/usage/reports") {
            const std::string name =
                reportName(request.queryValue("team"),
                           std::strtoull(request.queryValue("window").c_str(), nullptr, 10));
            m_server.respond(exchange, m_reportNames.contains(name) ? 200 : 404, {});
        } else if (request.path == "/v1/vms") {
            QJsonArray vms;
            for (const std::string &vm : m_leavingVms)
                vms.append(QJsonObject{{"vm", wire::qstring(vm)}, {"state", "leaving"}});
            m_server.respond(exchange, 200, {{"vms", vms}});
        } else if (request.path.starts_with("/v1/weights/")) {
            scheduleWeightDownload(request, exchange);
        } else if (request.path == "/v1/counts") {
            m_server.respond(exchange, 200, {{"kv_calls", wire::jsonNumber(m_kvCalls)}});
        } else {
            m_server.respond(exchange, 404, {});
        }
    }

    void acknowledge(const ExchangePtr &exchange)
    {
        if (m_server.fault("report_lose_answers") != 0)
            exchange->abort();
        else
            m_server.respond(exchange, 200, {});
    }

    // Downloads are serialized: each one gets the whole rate, and later ones queue behind it.
    void scheduleWeightDownload(const wire::IncomingRequest &request, const ExchangePtr &exchange)
    {
        const double size = std::atof(request.queryValue("bytes").c_str());
        const core::TimePoint now = core::BootClock::now();
        m_weightStoreFreeAt = std::max(m_weightStoreFreeAt, now)
            + std::chrono::milliseconds(static_cast<int64_t>(size / m_options.weightBytesPerSecond
                                                             * 1'000));
        const auto wait =
            std::chrono::duration_cast<std::chrono::milliseconds>(m_weightStoreFreeAt - now);
        m_server.record("weights", {{"path", wire::qstring(request.path)}, {"bytes", size}});
        QTimer::singleShot(wait, [this, exchange]() { m_server.respond(exchange, 200, {}); });
    }

    void markVmLeaving(const std::string &vm)
    {
        m_server.record("vm.leaving", {{"vm", wire::qstring(vm)}});
        QTimer::singleShot(m_options.vmListLag, [this, vm]() { m_leavingVms.insert(vm); });
    }

    // "leaving_vm" names a VM that the platform takes away; the VM list shows it after vmListLag.
    void applyFaults(const QJsonObject &faults)
    {
        if (faults.contains("leaving_vm"))
            markVmLeaving(wire::stringMember(faults, "leaving_vm"));
    }

    static std::string reportName(const std::string &team, uint64_t window)
    {
        return core::concat(team, "/", window);
    }

    FakePlatformOptions m_options;
    FakeServer m_server;
    bool m_started = false;
    uint64_t m_revision = 0;
    uint64_t m_leaseCount = 0;
    uint64_t m_kvCalls = 0;
    std::map<std::string, KvEntry> m_entries;
    std::map<std::string, Lease> m_leases;
    std::list<Watch> m_watches;
    std::set<std::string> m_orderIds;
    std::set<std::string> m_reportNames;
    std::set<std::string> m_leavingVms;
    core::TimePoint m_weightStoreFreeAt{};
};

FakePlatform::FakePlatform(FakePlatformOptions options) : m_state(std::make_unique<State>(options))
{
}

FakePlatform::~FakePlatform() = default;

int FakePlatform::run(const std::string &address)
{
    return m_state->server().run(address);
}

std::string FakePlatform::start()
{
    return m_state->server().start();
}

void FakePlatform::setFault(const char *name, double value)
{
    m_state->server().setFault(name, value);
}

size_t FakePlatform::countOf(const std::string &kind) const
{
    return m_state->server().countOf(kind);
}

} // namespace jujube::test
