#include "standins/service_model.h"

namespace fescuedeck::standins {

service_answer service_model::record(const std::string &collection, const nlohmann::json &body,
                                     const std::string &idempotencyKey, unix_millis now)
{
    if (!body.is_object() || !body.contains("id") || !body["id"].is_string())
        return { 400, { { "error", "the body needs a string field id" } } };
    const auto id = body["id"].get<std::string>();
    const std::lock_guard lock(m_mutex);
    m_total += 1;
    m_countById[id] += 1;
    if (!idempotencyKey.empty())
        m_countByKey[idempotencyKey] += 1;
    if (collection == "reservations" && body.contains("lot"))
        m_reserved[body["lot"].get<std::string>()] += body.value("quantity", 1);
    nlohmann::json record = body;
    record["number"] = m_total;
    record["recorded_ms"] = now.count();
    m_records[collection + "/" + id] = record;
    return { 201, record };
}

service_answer service_model::lookUp(const std::string &collection, const std::string &id) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_records.find(collection + "/" + id);
    if (found == m_records.end())
        return { 404, { { "error", collection + " has no record " + id } } };
    return { 200, found->second };
}

service_answer service_model::stock(const std::string &lot, unix_millis now) const
{
    const std::lock_guard lock(m_mutex);
    const auto reserved = m_reserved.find(lot);
    const int taken = reserved == m_reserved.end() ? 0 : reserved->second;
    return {
        200, { { "lot", lot }, { "in_stock", initialStock - taken }, { "as_of_ms", now.count() } }
    };
}

nlohmann::json service_model::counts() const
{
    const std::lock_guard lock(m_mutex);
    return { { "total", m_total }, { "by_key", m_countByKey }, { "by_id", m_countById } };
}

} // namespace fescuedeck::standins
