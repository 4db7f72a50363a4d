#include "fescuedeck/router/control_follower.h"

#include <algorithm>
#include <utility>

#include "fescuedeck/base/ids.h"
#include "fescuedeck/router/wait_event.h"
#include "fescuedeck/telemetry/log_setup.h"

namespace fescuedeck {
namespace {

constexpr const char *controlStream = "control";
constexpr int pageSize = 256; // in records
// How long the log may wait for new records before it answers a read with an empty page. It answers
// at once when a record is appended.
constexpr duration longPollTimeout = std::chrono::milliseconds(500);
constexpr duration initialBackoff = std::chrono::milliseconds(50);
constexpr duration maxBackoff = std::chrono::seconds(1);
constexpr duration checkpointPollInterval = std::chrono::milliseconds(250);
constexpr duration checkpointMaxDelay = std::chrono::seconds(5);
constexpr int maxAppendAttempts = 20;

std::shared_ptr<route_table> makeRouteTable(const model_spec &model)
{
    graph_request request;
    request.model = model.name;
    request.version = model.version;
    request.layers = model.layers;
    return std::make_shared<route_table>(std::move(request));
}

} // namespace

control_follower::control_follower(router_context &context, draft_admission &admission,
                                   log_client &log)
    : m_context(context)
    , m_admission(admission)
    , m_log(log)
{
    context.counters.setGauge("fescuedeck_bundle_version", {}, [&context] {
        return context.control.with([](const control_tables &tables) {
            return static_cast<double>(tables.state.acceptedVersion());
        });
    });
}

void control_follower::start()
{
    boost::asio::spawn(m_context.io, [this](boost::asio::yield_context yield) { follow(yield); });
    boost::asio::spawn(m_context.io,
                       [this](boost::asio::yield_context yield) { scheduleCheckpoints(yield); });
}

void control_follower::follow(boost::asio::yield_context yield)
{
    duration backoff = initialBackoff;
    for (;;) {
        const std::int64_t from = m_context.control.with(
                [](const control_tables &tables) { return tables.state.nextOffset(); });
        const auto page = m_log.read(controlStream, from, pageSize, longPollTimeout,
                                     m_context.settings.timing.logTimeout + longPollTimeout, yield);
        if (!page) {
            m_context.counters.counterOf("fescuedeck_log_failures_total", { { "call", "read" } })
                    .add();
            sleepFor(backoff, yield);
            backoff = std::min(maxBackoff, backoff * 2);
            continue;
        }
        backoff = initialBackoff;
        m_context.control.with([&](control_tables &tables) {
            applyPage(tables.state, page.value().records);
            tables.lastLogContact = steadyNow();
            tables.isCaughtUp = page.value().records.size() < static_cast<std::size_t>(pageSize);
        });
        if (!page.value().records.empty())
            install();
    }
}

void control_follower::install()
{
    struct control_snapshot
    {
        std::shared_ptr<const bundle> content;
        std::int64_t version;
        std::set<std::string> drained, quarantined;
    };
    // Only one install runs at a time, so that an older snapshot never replaces a newer one.
    const std::lock_guard installLock(m_installMutex);
    const control_snapshot snapshot = m_context.control.with([](control_tables &tables) {
        std::set<std::string> drained = tables.state.drainedHosts();
        for (const std::string &host : drained)
            tables.pendingDrains.erase(host);
        drained.insert(tables.pendingDrains.begin(), tables.pendingDrains.end());
        drained.insert(tables.peerDrains.begin(), tables.peerDrains.end());
        return control_snapshot{ tables.state.acceptedBundle(), tables.state.acceptedVersion(),
                                 std::move(drained), tables.state.quarantined() };
    });
    const time_point now = steadyNow();
    if (snapshot.content && snapshot.version > m_installedVersion) {
        const auto index = std::make_shared<const bundle_index>(snapshot.content);
        m_context.fleet.with([&](fleet_tables &tables) {
            tables.state.setWanted(wantedEndpoints(*snapshot.content), now);
            tables.routes.clear();
            for (const model_spec &model : snapshot.content->models)
                tables.routes[model.name] = makeRouteTable(model);
        });
        m_admission.setWorkspaces(*snapshot.content);
        m_context.control.with([&](control_tables &tables) { tables.index = index; });
        m_installedVersion = snapshot.version;
        logInfo("control", "bundle version " + std::to_string(snapshot.version) + " is in force");
    }
    m_context.fleet.with(
            [&](fleet_tables &tables) { tables.state.setDrainedHosts(snapshot.drained, now); });
    for (const std::string &fingerprint : snapshot.quarantined)
        m_context.suspects.receivedQuarantine({ fingerprint, wallNow() });
}

void control_follower::adopt(const std::string &checkpoint)
{
    const bool isAdopted = m_context.control.with(
            [&](control_tables &tables) { return tables.state.adopt(checkpoint); });
    if (isAdopted)
        install();
}

void control_follower::drainLocally(const std::string &host)
{
    const bool isNew = m_context.control.with([&](control_tables &tables) {
        return !tables.state.isDrained(host) && tables.pendingDrains.insert(host).second;
    });
    if (!isNew)
        return;
    logInfo("control", "host " + host + " is drained");
    install();
}

void control_follower::setPeerDrains(const std::set<std::string> &hosts)
{
    const bool isChanged = m_context.control.with([&](control_tables &tables) {
        return std::exchange(tables.peerDrains, hosts) != hosts;
    });
    if (isChanged)
        install();
}

void control_follower::append(const std::string &body)
{
    const log_append record{ makeUuidV7(wallNow(), m_context.randomFn()), body };
    boost::asio::spawn(m_context.io, [this, record](boost::asio::yield_context yield) {
        appendWithRetries(record, yield);
    });
}

void control_follower::appendWithRetries(const log_append &record, boost::asio::yield_context yield)
{
    // Every attempt uses the same record id. If an append succeeded but its answer was lost, the
    // replay ignores the second copy of the record.
    duration backoff = initialBackoff;
    for (int i = 0; i < maxAppendAttempts; ++i) {
        const auto offsets = m_log.append(controlStream, { record },
                                          m_context.settings.timing.logTimeout, yield);
        if (offsets)
            return;
        m_context.counters.counterOf("fescuedeck_log_failures_total", { { "call", "append" } })
                .add();
        sleepFor(backoff, yield);
        backoff = std::min(maxBackoff, backoff * 2);
    }
    logWarning("control", "a control record could not be appended; the log is unavailable");
}

void control_follower::scheduleCheckpoints(boost::asio::yield_context yield)
{
    const auto retention
            = std::chrono::duration_cast<unix_millis>(m_context.settings.platform.retention);
    checkpoint_scheduler scheduler({ retention, checkpointMaxDelay }, m_context.randomFn());
    for (;;) {
        const auto body = m_context.control.with([&](const control_tables &tables) {
            const bool isDue
                    = scheduler.poll(steadyNow(), wallNow(), tables.state, tables.isCaughtUp);
            return isDue ? tables.state.checkpointBody() : std::string();
        });
        if (!body.empty())
            append(body);
        sleepFor(checkpointPollInterval, yield);
    }
}

} // namespace fescuedeck
