/** \file
 * Case 2: a gateway that starts behind a slow link goes on to use endpoints whose entries were
 * removed while it read the list.
 */

#include "core/text.h"
#include "review/deployment.h"
#include "review/link.h"

#include <boost/asio/steady_timer.hpp>

#include <csignal>
#include <map>
#include <set>

namespace {

using namespace jujube;
using namespace std::chrono_literals;
using review::Verdict;

// ContactMs, DrainMs and ConfigApplyMs of the site.
constexpr core::Milliseconds ContactTime{4'000};
constexpr core::Milliseconds DrainTime{3'000};
constexpr core::Milliseconds ConfigTime{3'000};
constexpr core::Milliseconds WorkTime{200};
constexpr core::Milliseconds OrderTimeout{2'500};
constexpr core::Milliseconds BeforeStop{2'000};
constexpr core::Milliseconds StopLimit{8'500}; // GraceS and the time to reap.
constexpr core::Milliseconds RestartDelay{500};
constexpr core::Milliseconds AfterStart{13'000};
constexpr core::Milliseconds LeavingTime{10'000}; ///< From the removal of an entry to the exit.
constexpr core::Milliseconds BetweenOrders{20};
constexpr core::Milliseconds FirstLeavesAfterStart{100};
constexpr core::Milliseconds BetweenLeaving{100};
constexpr double LinkMbps = 10; ///< Of the gateway that is stopped and started.
constexpr double BytesPerMegabit = 125'000;
constexpr int IdleRoutes = 1'400; ///< Of the configuration, which has about 0.35 MB.
constexpr size_t Workers = 12;
constexpr size_t LeavingWorkers = 3;
constexpr int Gateways = 3;

/** An endpoint with its server. */
struct Worker
{
    std::string id;
    std::unique_ptr<http::Server> server;
    std::unique_ptr<test::FakeEndpoint> entry; ///< Only for the store.
    core::TimePoint removedAt{};               ///< Removal of its entry.
    bool exited = false;
    std::vector<http::Responder> running;
};

class Case
{
public:
    Case(review::Deployment &deployment, bool trouble)
        : m_it(deployment),
          m_trouble(trouble),
          m_link(deployment.io(), deployment.storeAddress(), LinkMbps * BytesPerMegabit)
    {
    }

    Verdict run()
    {
        if (!start())
            return Verdict::NotRun;
        review::GatewayProcess &gateway = *m_it.gateways().front();
        load(BeforeStop);
        if (m_trouble) {
            m_it.record("SIGTERM to front-1");
            gateway.signal(SIGTERM);
            const core::TimePoint limit = core::BootClock::now() + StopLimit;
            while (gateway.running()) {
                if (core::BootClock::now() > limit)
                    return Verdict::NotRun;
                load(BetweenOrders);
            }
            m_it.record("front-1 has ended");
            load(RestartDelay);
            if (!gateway.start())
                return Verdict::NotRun;
            m_it.record("front-1 starts again");
        }
        m_startedAt = core::BootClock::now();
        load(AfterStart);
        m_it.runFor(OrderTimeout + 500ms);
        size_t lost = 0;
        for (const auto &[id, outcome] : m_outcomes)
            lost += m_late.contains(id) && outcome->status != http::status::Ok ? 1 : 0;
        m_it.record(core::concat(m_outcomes.size(), " orders; ", m_late.size(),
                                 " reached an endpoint more than ", DrainTime.count(),
                                 " ms after the removal of its entry, from a gateway in touch; ",
                                 lost, " of these ended without the endpoint's answer"));
        return m_late.empty() ? Verdict::Held : Verdict::Broken;
    }

private:
    bool start()
    {
        std::string routes = review::routeJson("/order/", "non_idempotent", "app", OrderTimeout);
        for (int i = 0; i < IdleRoutes; ++i)
            routes += ","
                + review::routeJson(core::concat("/idle-", i, "/"), "idempotent", "app",
                                    OrderTimeout, R"(,"MaxAttempts":2,"Resumable":false)");
        m_it.store().put("op/config", review::configJson(1, routes, R"({"Name":"app"})"));
        for (size_t i = 0; i < Workers; ++i) {
            auto worker = std::make_unique<Worker>();
            Worker *const it = worker.get();
            worker->id = core::concat("i-", i + 1);
            worker->server = std::make_unique<http::Server>(
                m_it.io(),
                [this, it](const http::Request &request, const http::Responder &responder) {
                    runOrder(*it, request, responder);
                });
            const std::string address = m_it.address(4, static_cast<uint16_t>(7100 + i));
            if (!worker->server->listen(address).ok())
                return false;
            worker->entry =
                std::make_unique<test::FakeEndpoint>(m_it.io(), worker->id, serving::Stage::None);
            worker->entry->setAdvertisedAddress(address);
            m_it.registerEndpoint(*worker->entry, "app", "ready");
            m_workers.push_back(std::move(worker));
        }
        const std::string linkAddress = m_it.address(5, 7001);
        if (!m_link.listen(linkAddress))
            return false;
        for (int i = 0; i < Gateways; ++i) {
            review::GatewayOptions options;
            options.name = core::concat("front-", i + 1);
            options.contactTime = ContactTime;
            options.drainTime = DrainTime;
            options.configTime = ConfigTime;
            options.fenced = false;
            if (i == 0) {
                options.storeAddress = linkAddress;
                options.linkMbps = LinkMbps;
            }
            if (!m_it.addGateway(options))
                return false;
        }
        return m_it.waitReady(10s);
    }

    // Sends orders to all gateways for some time.
    void load(core::Milliseconds time)
    {
        const core::TimePoint end = core::BootClock::now() + time;
        while (core::BootClock::now() < end) {
            m_it.runFor(BetweenOrders);
            for (const auto &gateway : m_it.gateways())
                sendOrder(*gateway);
            if (m_startedAt != core::TimePoint{})
                letWorkersLeave(core::BootClock::now());
        }
    }

    // Endpoints leave without a report: their entries are removed, and they serve on for some time.
    void letWorkersLeave(core::TimePoint now)
    {
        for (size_t i = 0; i < LeavingWorkers; ++i) {
            Worker &worker = *m_workers[i];
            const core::TimePoint due =
                m_startedAt + FirstLeavesAfterStart + BetweenLeaving * static_cast<int64_t>(i);
            if (worker.removedAt == core::TimePoint{} && now >= due) {
                m_it.store().erase("servers/" + worker.id);
                worker.removedAt = core::BootClock::now();
                m_it.record("the entry of " + worker.id + " is removed");
            }
            if (worker.removedAt != core::TimePoint{} && !worker.exited
                && now >= worker.removedAt + LeavingTime) {
                worker.exited = true;
                m_it.record(core::concat(worker.id, " exits with ", worker.running.size(),
                                         " orders in progress"));
                worker.server->stopListening();
                for (const http::Responder &it : worker.running)
                    it.abort();
                worker.server->closeIdleConnections();
            }
        }
    }

    void runOrder(Worker &worker, const http::Request &request, const http::Responder &responder)
    {
        const std::string id(request.head.fields.find("Request-Id").value_or(""));
        if (request.head.fields.find("Expect-Instance") != worker.id) {
            http::Head head;
            head.status = http::status::Misdirected;
            head.fields.add("Request-Id", id);
            responder.send(head, {});
            return;
        }
        const core::TimePoint now = core::BootClock::now();
        const bool inTouch = !id.starts_with("front-1-")
            || (m_startedAt != core::TimePoint{} && now >= m_startedAt + ContactTime);
        if (worker.removedAt != core::TimePoint{} && now > worker.removedAt + DrainTime
            && inTouch) {
            m_late.insert(id);
            const auto since =
                std::chrono::duration_cast<core::Milliseconds>(now - worker.removedAt);
            m_it.record(core::concat(id, " reaches ", worker.id, " ", since.count(),
                                     " ms after the removal of its entry"));
        }
        worker.running.push_back(responder);
        const auto timer = std::make_shared<boost::asio::steady_timer>(m_it.io(), WorkTime);
        timer->async_wait([&worker, timer, responder, id](const boost::system::error_code &) {
            worker.running.erase(worker.running.begin());
            if (worker.exited)
                return;
            http::Head head;
            head.status = http::status::Ok;
            head.fields.add("Request-Id", id);
            head.fields.add("Server-Seal", "seal");
            responder.send(head, "done");
        });
    }

    void sendOrder(const review::GatewayProcess &gateway)
    {
        review::ClientRequest request;
        request.address = gateway.clientAddress;
        request.target = "/order/1";
        request.id = core::concat(gateway.name, "-", m_outcomes.size() + 1);
        request.timeLimit = OrderTimeout;
        request.quiet = true;
        m_outcomes[request.id] = m_it.send(request);
    }

    review::Deployment &m_it;
    bool m_trouble;
    review::Link m_link; ///< From the store to the gateway that is stopped and started.
    std::vector<std::unique_ptr<Worker>> m_workers;
    std::map<std::string, std::shared_ptr<review::Outcome>> m_outcomes;
    std::set<std::string> m_late;
    core::TimePoint m_startedAt{}; ///< Of the gateway, after its stop.
};

} // namespace

int main(int argc, char **argv)
{
    return review::runCase(argc, argv, [](review::Deployment &deployment, bool trouble) {
        return Case(deployment, trouble).run();
    });
}
