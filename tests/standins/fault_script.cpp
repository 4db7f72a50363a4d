#include "standins/fault_script.h"

#include "fescuedeck/base/name_table.h"

namespace fescuedeck::standins {
namespace {

constexpr name_table<fault_kind, 11> kindNames = { {
        { fault_kind::Crash, "crash" },
        { fault_kind::Freeze, "freeze" },
        { fault_kind::SilentConnections, "silent_connections" },
        { fault_kind::Delay, "delay" },
        { fault_kind::LostAnswer, "lost_answer" },
        { fault_kind::CrossedAnswer, "crossed_answer" },
        { fault_kind::StaleAnswer, "stale_answer" },
        { fault_kind::Refuse, "refuse" },
        { fault_kind::Silence, "silence" },
        { fault_kind::HostListLag, "host_list_lag" },
        { fault_kind::Slowdown, "slowdown" },
} };

bool startsWith(const std::string &text, const std::string &prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

bool applies(const fault_rule &rule)
{
    return rule.matched >= rule.first
           && (rule.count == 0 || rule.matched < rule.first + rule.count);
}

} // namespace

result<fault_rule> parseFaultRule(const nlohmann::json &json)
{
    try {
        const auto name = json.at("kind").get<std::string>();
        const auto kind = valueOf(kindNames, name);
        if (!kind)
            return makeFailure(errc::InvalidRequest, "unknown fault kind " + name);
        fault_rule rule;
        rule.kind = *kind;
        rule.path = json.value("path", rule.path);
        rule.first = json.value("first", rule.first);
        rule.count = json.value("count", rule.count);
        rule.marker = json.value("marker", rule.marker);
        rule.afterEffect = json.value("when", std::string("before")) == "after";
        rule.delayMs = json.value("delay_ms", rule.delayMs);
        rule.status = json.value("status", rule.status);
        rule.error = json.value("error", rule.error);
        rule.factor = json.value("factor", rule.factor);
        return rule;
    } catch (const nlohmann::json::exception &error) {
        return makeFailure(errc::InvalidRequest, error.what());
    }
}

void fault_script::add(fault_rule rule)
{
    const std::lock_guard lock(m_mutex);
    m_rules.push_back(std::move(rule));
}

void fault_script::clear()
{
    const std::lock_guard lock(m_mutex);
    m_rules.clear();
}

std::vector<fault_rule> fault_script::match(const std::string &path, const std::string &text)
{
    std::vector<fault_rule> matching;
    const std::lock_guard lock(m_mutex);
    for (fault_rule &rule : m_rules) {
        const bool hasMarker = rule.marker.empty() || text.find(rule.marker) != std::string::npos;
        if (!startsWith(path, rule.path) || !hasMarker)
            continue;
        rule.matched += 1;
        if (!applies(rule))
            continue;
        rule.fired += 1;
        matching.push_back(rule);
    }
    return matching;
}

nlohmann::json fault_script::status() const
{
    const std::lock_guard lock(m_mutex);
    nlohmann::json list = nlohmann::json::array();
    for (const fault_rule &rule : m_rules) {
        list.push_back({ { "kind", std::string(nameOf(kindNames, rule.kind)) },
                         { "path", rule.path },
                         { "matched", rule.matched },
                         { "fired", rule.fired } });
    }
    return list;
}

} // namespace fescuedeck::standins
