// Leases of the models, folded from the control stream.
#ifndef FESCUEDECK_CONTROL_LEASE_TABLE_H
#define FESCUEDECK_CONTROL_LEASE_TABLE_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "fescuedeck/base/time.h"
#include "fescuedeck/control/control_record.h"

namespace fescuedeck {

// The right to send orders to a model's engines. Times are the log's.
struct lease
{
    std::string model;
    std::string holder;
    std::int64_t offset = 0; // of the newest lease record; the fencing number of orders
    unix_millis start{};
    unix_millis leaseDuration{};

    unix_millis expiry() const { return start + leaseDuration; }
};

namespace detail {

class lease_table
{
public:
    // Returns false if the record is not valid: it does not follow the newest record of its model,
    // or it takes over a lease whose term had not passed by the log's clock. So of two takeovers
    // of one lease the first in the log wins. A renewal by the holder is valid at any time, since
    // nobody took over in between.
    bool apply(const lease_requested &request, std::int64_t offset, unix_millis time);
    std::optional<lease> find(const std::string &model) const;

    nlohmann::json toJson() const;
    // Returns false, or throws nlohmann::json::exception, unless the entries are as toJson writes
    // them and all offsets are below endOffset.
    bool restore(const nlohmann::json &entries, std::int64_t endOffset);

private:
    bool makeRoom(unix_millis time);

    std::map<std::string, lease> m_leases; // by model
};

} // namespace detail
} // namespace fescuedeck

#endif
