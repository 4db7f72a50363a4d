#include "fescuedeck/gateway/settings_reload.h"

namespace fescuedeck {
namespace {

void addName(std::string &names, const char *name)
{
    names += names.empty() ? "" : ",";
    names += name;
}

} // namespace

settings_change applySettings(gateway_settings &current, const gateway_settings &fresh)
{
    settings_change change;
    const auto apply = [&](auto member, const char *name) {
        if (current.*member == fresh.*member)
            return;
        current.*member = fresh.*member;
        addName(change.applied, name);
    };
    const auto compare = [&](auto member, const char *name) {
        if (current.*member != fresh.*member)
            addName(change.needRestart, name);
    };
    apply(&gateway_settings::gracePeriod, "grace_period");
    apply(&gateway_settings::drainLimit, "drain_limit");
    apply(&gateway_settings::configApplyLimit, "config_apply_limit");
    apply(&gateway_settings::stallLimit, "stall_limit");
    apply(&gateway_settings::retryShare, "retry_share");
    apply(&gateway_settings::minRetriesPerWindow, "retry_reserve");
    apply(&gateway_settings::retryWindow, "retry_window");
    apply(&gateway_settings::lowerRankShare, "lower_rank_share");
    apply(&gateway_settings::enginesCheckFencing, "engines_check_fencing");
    compare(&gateway_settings::id, "id");
    compare(&gateway_settings::failureDomain, "failure_domain");
    compare(&gateway_settings::callersAddress, "callers_address");
    compare(&gateway_settings::readinessAddress, "readiness_address");
    compare(&gateway_settings::operatorsAddress, "operators_address");
    compare(&gateway_settings::peersAddress, "peers_address");
    compare(&gateway_settings::relayAddress, "relay_address");
    compare(&gateway_settings::storeAddress, "store_address");
    compare(&gateway_settings::memoryBytes, "memory");
    compare(&gateway_settings::fileDescriptors, "file_descriptors");
    compare(&gateway_settings::linkRate, "link_rate");
    compare(&gateway_settings::logLevel, "log_level");
    return change;
}

} // namespace fescuedeck
