#include "fescuedeck/router/order_controller.h"

#include <algorithm>

#include "fescuedeck/router/engine_client.h"
#include "fescuedeck/router/readiness.h"
#include "fescuedeck/router/wait_event.h"
#include "fescuedeck/telemetry/log_setup.h"

namespace fescuedeck {
namespace {

constexpr duration leasePollInterval = std::chrono::milliseconds(100);
constexpr duration reportTimeout = std::chrono::seconds(1);
// This timeout must be shorter than lease_policy::sendMargin and planner_policy::longestDelivery,
// because both must exceed the time that an order takes to reach the engine.
constexpr duration orderTimeout = std::chrono::seconds(1);

// Returns the model's share of the load rate of the weight store, in layers. The weight store
// limits the number of loads, whatever their size, and serves all models, whose leases may be held
// by different routers. Each model therefore gets an equal share of the loads, converted to layers
// with the size of the model's smallest range. With this conversion, larger ranges are loaded less
// often, and all models together never exceed the rate.
load_rate loadRateOf(const bundle &content, const std::string &model, std::int64_t loadsPerSecond)
{
    int smallest = 0;
    for (const endpoint_spec &endpoint : content.endpoints) {
        if (endpoint.model == model && (smallest == 0 || endpoint.layers.size() < smallest))
            smallest = endpoint.layers.size();
    }
    const double layers = std::max(1, smallest);
    const double share = static_cast<double>(loadsPerSecond)
                         / static_cast<double>(std::max<std::size_t>(1, content.models.size()));
    return { layers * share, layers };
}

std::vector<std::pair<std::string, int>> modelLayersOf(const bundle &content)
{
    std::vector<std::pair<std::string, int>> layers;
    for (const model_spec &model : content.models)
        layers.emplace_back(model.name, model.layers);
    return layers;
}

} // namespace

order_controller::order_controller(router_context &context, control_follower &control)
    : m_context(context)
    , m_control(control)
    , m_tables(lock_rank::Fleet)
{
}

void order_controller::start()
{
    boost::asio::spawn(m_context.io,
                       [this](boost::asio::yield_context yield) { maintainLeases(yield); });
    boost::asio::spawn(m_context.io,
                       [this](boost::asio::yield_context yield) { planAndSendOrders(yield); });
}

void order_controller::maintainLeases(boost::asio::yield_context yield)
{
    for (;;) {
        if (const auto index = m_context.bundleInForce()) {
            setBundle(index);
            const bool isCandidate = evaluateReadiness(m_context, steadyNow()).isReady;
            const lease_poll_result result = pollLeases(currentLeases(), isCandidate);
            for (const lease_requested &record : result.records)
                m_control.append(recordBody(record));
            for (const std::string &line : result.logLines)
                logInfo("orders", line);
        }
        sleepFor(leasePollInterval, yield);
    }
}

void order_controller::setBundle(const std::shared_ptr<const bundle_index> &index)
{
    const std::shared_ptr<const bundle> content(index, &index->content());
    const std::int64_t loadsPerSecond = m_context.settings.platform.weightLoadsPerSecond;
    m_tables.with([&](order_tables &tables) {
        for (auto &[name, state] : tables.models)
            state.isInBundle = index->findModel(name) != nullptr;
        for (const model_spec &model : content->models) {
            auto found = tables.models.find(model.name);
            if (found == tables.models.end())
                found = tables.models.emplace(model.name, makeModelState(model.name)).first;
            model_state &state = found->second;
            if (state.bundleVersion == content->version)
                continue;
            state.bundleVersion = content->version;
            state.planner.setBundle(content);
            state.planner.setLoadRate(loadRateOf(*content, model.name, loadsPerSecond));
        }
    });
}

order_controller::model_state order_controller::makeModelState(const std::string &model) const
{
    const std::string holder = m_context.settings.routerId + "/" + m_context.incarnation;
    return { lease_keeper({}, model, holder, m_context.randomFn()), order_planner({}, model) };
}

std::map<std::string, lease> order_controller::currentLeases() const
{
    const auto names = m_tables.with([](const order_tables &tables) {
        std::vector<std::string> models;
        for (const auto &[name, state] : tables.models)
            models.push_back(name);
        return models;
    });
    return m_context.control.with([&](const control_tables &tables) {
        std::map<std::string, lease> leases;
        for (const std::string &name : names) {
            if (const auto current = tables.state.leaseOf(name))
                leases[name] = *current;
        }
        return leases;
    });
}

bool order_controller::isSendingOrderOf(const order_tables &tables, const std::string &model)
{
    return std::any_of(tables.engines.begin(), tables.engines.end(), [&](const auto &entry) {
        return entry.second.isSending && entry.second.sendingModel == model;
    });
}

order_controller::lease_poll_result
order_controller::pollLeases(const std::map<std::string, lease> &leases, bool isCandidate)
{
    return m_tables.with([&](order_tables &tables) {
        lease_poll_result result;
        for (auto &[name, state] : tables.models) {
            const auto found = leases.find(name);
            const auto current
                    = found == leases.end() ? std::nullopt : std::optional<lease>(found->second);
            const time_point now = steadyNow();
            const bool isWanted = isCandidate && state.isInBundle;
            const auto record = state.keeper.poll(now, wallNow(), current, isWanted);
            // A release ends the lease at once, so an order in flight could take effect after
            // another router has acquired the lease. The release is therefore skipped while an
            // order of the model is in flight. The lease keeper returns it again later, when that
            // order has ended.
            if (record && (isWanted || !isSendingOrderOf(tables, name)))
                result.records.push_back(*record);
            const auto authority = state.keeper.authority(now);
            if (authority.has_value() == state.isLeaseHeld)
                continue;
            state.isLeaseHeld = authority.has_value();
            result.logLines.push_back(
                    "lease of model " + name
                    + (authority ? " acquired, fencing number " + std::to_string(authority->fencing)
                       : isWanted ? std::string(" lost")
                                  : std::string(" released")));
        }
        return result;
    });
}

void order_controller::planAndSendOrders(boost::asio::yield_context yield)
{
    for (;;) {
        const bool isHolder = m_tables.with([](const order_tables &tables) {
            return std::any_of(tables.models.begin(), tables.models.end(),
                               [](const auto &entry) { return entry.second.isLeaseHeld; });
        });
        const auto index = m_context.bundleInForce();
        if (isHolder && index) {
            for (const endpoint_spec &endpoint : index->content().endpoints)
                spawnPoll(endpoint);
            for (const std::string &endpoint : planOrders(index->content())) {
                boost::asio::spawn(m_context.io,
                                   [this, endpoint](boost::asio::yield_context sender) {
                                       sendQueuedOrders(endpoint, sender);
                                   });
            }
        }
        sleepFor(m_context.settings.timing.reportInterval, yield);
    }
}

void order_controller::spawnPoll(const endpoint_spec &endpoint)
{
    const bool mayPoll = m_tables.with(
            [&](order_tables &tables) { return tables.polling.insert(endpoint.id).second; });
    if (!mayPoll)
        return;
    boost::asio::spawn(m_context.io, [this, id = endpoint.id, address = endpoint.address](
                                             boost::asio::yield_context yield) {
        const auto report = fetchLoadReport(m_context.client, address, reportTimeout, yield);
        m_tables.with([&](order_tables &tables) {
            tables.polling.erase(id);
            if (!report)
                return;
            for (auto &[name, state] : tables.models)
                state.planner.recordReport(id, report.value(), steadyNow());
        });
    });
}

std::vector<std::string> order_controller::planOrders(const bundle &content)
{
    const auto modelLayers = modelLayersOf(content);
    return m_tables.with([&](order_tables &tables) {
        std::vector<std::string> idle;
        for (auto &[name, state] : tables.models) {
            const time_point now = steadyNow();
            const auto authority = state.keeper.authority(now);
            if (!authority || !state.isInBundle)
                continue;
            for (engine_order &order : state.planner.plan(now, *authority)) {
                engine_queue &queue = tables.engines[order.endpoint];
                if (!queue.isSending)
                    idle.push_back(order.endpoint);
                queue.isSending = true;
                std::string body = orderBody(order, modelLayers);
                queue.next = queued_order{ name, std::move(order), std::move(body) };
            }
        }
        return idle;
    });
}

void order_controller::sendQueuedOrders(const std::string &endpoint,
                                        boost::asio::yield_context yield)
{
    while (const auto queued = takeOrder(endpoint))
        reportAnswer(*queued, send(*queued, yield));
}

// An order is withheld in two cases: the authority to send orders has ended since the order was
// planned, or this router has lost and acquired the lease again since then. In the second case the
// order's fencing number is lower than the first one of the current authority.
std::optional<order_controller::queued_order>
order_controller::takeOrder(const std::string &endpoint)
{
    std::string withheldModel;
    const auto taken = m_tables.with([&](order_tables &tables) -> std::optional<queued_order> {
        engine_queue &queue = tables.engines[endpoint];
        std::optional<queued_order> next;
        next.swap(queue.next);
        const auto authority
                = next ? tables.models.at(next->model).keeper.authority(steadyNow()) : std::nullopt;
        if (authority && next->order.fencing >= authority->firstFencing) {
            queue.sendingModel = next->model;
            return next;
        }
        if (next)
            withheldModel = next->model;
        queue.isSending = false;
        queue.sendingModel.clear();
        return std::nullopt;
    });
    if (!withheldModel.empty())
        countOrder(withheldModel, "withheld");
    return taken;
}

bool order_controller::send(const queued_order &queued, boost::asio::yield_context yield)
{
    constexpr int statusOk = 200;
    constexpr int statusConflict = 409;
    http_request request;
    request.method = "POST";
    request.target = "/v1/orders";
    request.headers = { { "Content-Type", "application/json" } };
    request.body = queued.body;
    call_options options;
    options.timeout = orderTimeout;
    const auto response
            = m_context.client.send(queued.order.address, request, options, yield).response;
    const int status = response ? response.value().status : 0;
    countOrder(queued.model,
               status == statusOk ? "accepted" : (status == statusConflict ? "stale" : "failed"));
    return status == statusOk;
}

// The planner takes every answer as the answer to its newest order. If a newer order is already
// queued, the answer is dropped, so that the planner treats the older order as unresolved: it may
// still take effect.
void order_controller::reportAnswer(const queued_order &queued, bool isAccepted)
{
    m_tables.with([&](order_tables &tables) {
        if (!tables.engines[queued.order.endpoint].next)
            tables.models.at(queued.model)
                    .planner.recordAnswer(queued.order.endpoint, isAccepted, steadyNow());
    });
}

void order_controller::countOrder(const std::string &model, const char *result)
{
    m_context.counters
            .counterOf("fescuedeck_orders_total", { { "model", model }, { "result", result } })
            .add();
}

} // namespace fescuedeck
