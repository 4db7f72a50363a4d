#include "fescuedeck/control/lease_table.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace fescuedeck::detail {
namespace {

// Far more than the planned 29 models. The limit bounds the state if records name models that do
// not exist.
constexpr std::size_t maxLeases = 1024;

// Accepts only times that are far from an overflow in later arithmetic.
bool isPlausible(unix_millis time)
{
    constexpr unix_millis year10000(253402300800000);
    return time.count() >= 0 && time < year10000;
}

} // namespace

bool lease_table::apply(const lease_requested &request, std::int64_t offset, unix_millis time)
{
    const auto found = m_leases.find(request.model);
    const std::int64_t newest = found == m_leases.end() ? -1 : found->second.offset;
    if (request.follows != newest || !isPlausible(time))
        return false;
    if (found == m_leases.end() && !makeRoom(time))
        return false;
    if (found != m_leases.end() && found->second.holder != request.holder
        && time <= found->second.expiry())
        return false;
    m_leases[request.model]
            = { request.model, request.holder, offset, time, request.leaseDuration };
    return true;
}

std::optional<lease> lease_table::find(const std::string &model) const
{
    const auto found = m_leases.find(model);
    return found == m_leases.end() ? std::nullopt : std::optional<lease>(found->second);
}

// Makes room for one more lease and returns whether there is room. If the table is full, the lease
// with the oldest record is removed, but only if it has expired.
bool lease_table::makeRoom(unix_millis time)
{
    if (m_leases.size() < maxLeases)
        return true;
    const auto oldest
            = std::min_element(m_leases.begin(), m_leases.end(), [](const auto &a, const auto &b) {
                  return a.second.offset < b.second.offset;
              });
    if (time <= oldest->second.expiry())
        return false;
    m_leases.erase(oldest);
    return true;
}

nlohmann::json lease_table::toJson() const
{
    nlohmann::json entries = nlohmann::json::array();
    for (const auto &[model, held] : m_leases)
        entries.push_back({ { "model", model },
                            { "holder", held.holder },
                            { "offset", held.offset },
                            { "start_ms", held.start.count() },
                            { "term_ms", held.leaseDuration.count() } });
    return entries;
}

bool lease_table::restore(const nlohmann::json &entries, std::int64_t endOffset)
{
    m_leases.clear();
    for (const nlohmann::json &entry : entries) {
        lease held;
        held.model = entry.at("model").get<std::string>();
        held.holder = entry.at("holder").get<std::string>();
        held.offset = entry.at("offset").get<std::int64_t>();
        held.start = unix_millis(entry.at("start_ms").get<std::int64_t>());
        held.leaseDuration = unix_millis(entry.at("term_ms").get<std::int64_t>());
        if (held.offset < 0 || held.offset >= endOffset || !isPlausible(held.start)
            || !isPlausible(held.leaseDuration))
            return false;
        m_leases[held.model] = held;
    }
    return true;
}

} // namespace fescuedeck::detail
