#include "fescuedeck/router/router_context.h"

#include <random>

#include "fescuedeck/base/hash.h"
#include "fescuedeck/base/ids.h"

namespace fescuedeck {
namespace {

constexpr int incarnationBytes = 8;

control_options controlOptionsOf(const router_settings &settings)
{
    control_options options;
    for (const approver_setting &approver : settings.approvers)
        options.firstApprovers.push_back({ approver.keyId, approver.publicKey });
    if (!settings.peers.secret.empty())
        options.checkpointKey = hmacSha256Hex(settings.peers.secret, "checkpoint");
    return options;
}

std::uint64_t seedOf(const router_settings &settings)
{
    if (settings.seed != 0)
        return settings.seed;
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

} // namespace

router_context::router_context(router_settings routerSettings, boost::asio::io_context &ioContext)
    : settings(std::move(routerSettings))
    , incarnation(randomHex(incarnationBytes, seededRandom(std::random_device{}())))
    , io(ioContext)
    , client(ioContext)
    , traces(settings.routerId, static_cast<std::size_t>(settings.maxTraces))
    , control(lock_rank::Control, controlOptionsOf(settings))
    , fleet(lock_rank::Fleet)
    , admission(lock_rank::Admission)
    , suspects(crash_suspects_settings{}, randomFn())
{
}

std::uint64_t router_context::random() const
{
    thread_local std::mt19937_64 engine(seedOf(settings));
    return engine();
}

random_fn router_context::randomFn() const
{
    return [this] { return random(); };
}

std::shared_ptr<const bundle_index> router_context::bundleInForce() const
{
    return control.with([](const control_tables &tables) { return tables.index; });
}

std::string router_context::addressOf(const std::string &endpoint) const
{
    const auto index = bundleInForce();
    const endpoint_spec *spec = index ? index->findEndpoint(endpoint) : nullptr;
    return spec ? spec->address : std::string();
}

std::string fleetModelOf(const service_spec &service)
{
    return "service:" + service.name;
}

std::vector<wanted_endpoint> wantedEndpoints(const bundle &content)
{
    std::vector<wanted_endpoint> wanted;
    for (const endpoint_spec &engine : content.endpoints) {
        wanted.push_back({ engine.id, engine.host, engine.failureDomain, engine.accelerator,
                           engine.model, engine.version, engine.layers, engine.tokensPerSecond });
    }
    for (const service_spec &service : content.services) {
        for (const endpoint_spec &replica : service.replicas) {
            wanted.push_back({ replica.id,
                               replica.host,
                               replica.failureDomain,
                               "",
                               fleetModelOf(service),
                               "",
                               { 0, 1 },
                               1.0 });
        }
    }
    return wanted;
}

} // namespace fescuedeck
