// Leases of the models, as replayed from the control stream.
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

// The exclusive right of one router to send orders to a model's engines. Times are by the clock of
// the log.
struct lease
{
    std::string model;
    std::string holder;
    std::int64_t offset = 0; // of the newest lease record; it is the fencing number of orders
    unix_millis start{};
    unix_millis leaseDuration{};

    unix_millis expiry() const { return start + leaseDuration; }
};

namespace detail {

// Not thread-safe.
class lease_table
{
public:
    // Applies a lease record with this offset and time in the log. Returns false and changes
    // nothing if the record is not valid. It is not valid in these cases:
    // - It does not follow the newest lease record of its model. Therefore, if two routers try to
    //   take over one lease, the first record in the log is the valid one.
    // - It takes over a lease of another holder that has not expired by the clock of the log. A
    //   renewal by the holder is valid even after expiry, because nobody has taken over in between.
    // - Its time is out of range, or the table is full of leases.
    bool apply(const lease_requested &request, std::int64_t offset, unix_millis time);
    std::optional<lease> find(const std::string &model) const;

    nlohmann::json toJson() const;
    // Replaces the leases by the entries, which toJson has written. If an entry has another form, a
    // time is out of range or an offset is not below endOffset, it returns false or throws
    // nlohmann::json::exception and leaves the table partly filled.
    bool restore(const nlohmann::json &entries, std::int64_t endOffset);

private:
    bool makeRoom(unix_millis time);

    std::map<std::string, lease> m_leases; // by model
};

} // namespace detail
} // namespace fescuedeck

#endif
