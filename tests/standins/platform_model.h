// State of the stand-in platform: log streams with offsets and retention, the lagging host list and
// the rate limit of the weight store. Transport, long polls and outages are added by
// standin_platform. Thread-safe.
#ifndef FESCUEDECK_STANDINS_PLATFORM_MODEL_H
#define FESCUEDECK_STANDINS_PLATFORM_MODEL_H

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "fescuedeck/base/time.h"
#include "standins/token_bucket.h"

namespace fescuedeck::standins {

struct platform_options
{
    unix_millis retention{ 24 * 3600 * 1000 };
    duration hostListLag{ 0 };
    double appendsPerSecond = 0;     // 0 for no limit
    double weightLoadsPerSecond = 0; // 0 for no limit
};

struct listed_host
{
    std::string host;
    std::string address;
    std::string role;  // router or endpoint
    std::string state; // live, leaving, or gone to take it off the list
    std::string incarnation;
};

class platform_model
{
public:
    explicit platform_model(platform_options options);

    // Offsets of the records, or empty if the append rate is exceeded. Records are {id, body}; a
    // repeated id is stored again, as the log does not compare ids. Throws nlohmann's exception and
    // stores nothing if a field is missing.
    std::optional<std::vector<std::int64_t>> append(const std::string &stream,
                                                    const nlohmann::json &records, time_point now,
                                                    unix_millis wall);
    // {records:[{offset, id, time_ms, body}], next, first}
    nlohmann::json read(const std::string &stream, std::int64_t from, int limit, unix_millis wall);
    std::int64_t nextOffset(const std::string &stream) const;

    // A change becomes visible when the lag in force at that time has passed.
    void setHost(listed_host host, time_point now);
    void setHostListLag(duration lag);
    // {hosts:[{host, address, role, state, incarnation}]}
    nlohmann::json hosts(time_point now) const;

    bool takeWeightLoad(time_point now);

private:
    struct stored_record
    {
        std::string id;
        unix_millis time;
        nlohmann::json body;
    };
    struct log_stream
    {
        std::int64_t first = 0;
        std::deque<stored_record> records;
    };

    void expire(log_stream *stream, unix_millis wall) const;

    mutable std::mutex m_mutex;
    platform_options m_options;
    std::map<std::string, log_stream> m_streams;
    std::vector<std::pair<time_point, listed_host>> m_hostChanges;
    token_bucket m_appendBucket;
    token_bucket m_weightBucket;
};

} // namespace fescuedeck::standins

#endif
