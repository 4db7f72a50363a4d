// State of a stand-in plain service: a desk that records signatures and reservations, looks them up
// and reports stock.
//
// It does not deduplicate: every record() takes effect, and counts() tells how often each key and
// each body id ran, so that tests can detect a repeated call. Thread-safe.
#ifndef FESCUEDECK_STANDINS_SERVICE_MODEL_H
#define FESCUEDECK_STANDINS_SERVICE_MODEL_H

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include <nlohmann/json.hpp>

#include "fescuedeck/base/time.h"

namespace fescuedeck::standins {

struct service_answer
{
    int status = 200;
    nlohmann::json body;
};

class service_model
{
public:
    // collection is "signatures" or "reservations"; body needs "id". A reservation may name a "lot"
    // and a "quantity" (default 1), which lower the lot's stock.
    service_answer record(const std::string &collection, const nlohmann::json &body,
                          const std::string &idempotencyKey, unix_millis now);
    // 404 if no record has the id.
    service_answer lookUp(const std::string &collection, const std::string &id) const;
    // {lot, in_stock, as_of_ms}; lots start with initialStock.
    service_answer stock(const std::string &lot, unix_millis now) const;
    // {total, by_key:{key: n}, by_id:{id: n}}; calls without a key are not in by_key.
    nlohmann::json counts() const;

    static constexpr int initialStock = 1000;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, nlohmann::json> m_records; // by "collection/id"
    std::map<std::string, int> m_reserved;           // by lot
    std::map<std::string, int> m_countByKey;
    std::map<std::string, int> m_countById;
    int m_total = 0;
};

} // namespace fescuedeck::standins

#endif
