#include "standins/platform_model.h"

#include <algorithm>

namespace fescuedeck::standins {

platform_model::platform_model(platform_options options)
    : m_options(options)
    , m_appendBucket(options.appendsPerSecond, options.appendsPerSecond)
    , m_weightBucket(options.weightLoadsPerSecond, 1)
{
}

std::optional<std::vector<std::int64_t>> platform_model::append(const std::string &stream,
                                                                const nlohmann::json &records,
                                                                time_point now, unix_millis wall)
{
    std::vector<stored_record> stored;
    for (const auto &record : records)
        stored.push_back({ record.at("id").get<std::string>(), wall, record.at("body") });
    const std::lock_guard lock(m_mutex);
    // One append may carry several records; the limit is on appends.
    if (!m_appendBucket.take(1, now))
        return std::nullopt;
    log_stream &target = m_streams[stream];
    std::vector<std::int64_t> offsets;
    for (stored_record &record : stored) {
        offsets.push_back(target.first + static_cast<std::int64_t>(target.records.size()));
        target.records.push_back(std::move(record));
    }
    return offsets;
}

void platform_model::expire(log_stream *stream, unix_millis wall) const
{
    while (!stream->records.empty() && stream->records.front().time + m_options.retention < wall) {
        stream->records.pop_front();
        stream->first += 1;
    }
}

nlohmann::json platform_model::read(const std::string &stream, std::int64_t from, int limit,
                                    unix_millis wall)
{
    const std::lock_guard lock(m_mutex);
    log_stream &source = m_streams[stream];
    expire(&source, wall);
    const auto end = source.first + static_cast<std::int64_t>(source.records.size());
    std::int64_t offset = std::max(from, source.first);
    nlohmann::json records = nlohmann::json::array();
    for (; offset < end && static_cast<int>(records.size()) < limit; ++offset) {
        const stored_record &record
                = source.records[static_cast<std::size_t>(offset - source.first)];
        records.push_back({ { "offset", offset },
                            { "id", record.id },
                            { "time_ms", record.time.count() },
                            { "body", record.body } });
    }
    return { { "records", records }, { "next", offset }, { "first", source.first } };
}

std::int64_t platform_model::nextOffset(const std::string &stream) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_streams.find(stream);
    if (found == m_streams.end())
        return 0;
    return found->second.first + static_cast<std::int64_t>(found->second.records.size());
}

void platform_model::setHost(listed_host host, time_point now)
{
    const std::lock_guard lock(m_mutex);
    m_hostChanges.emplace_back(now + m_options.hostListLag, std::move(host));
}

void platform_model::setHostListLag(duration lag)
{
    const std::lock_guard lock(m_mutex);
    m_options.hostListLag = lag;
}

nlohmann::json platform_model::hosts(time_point now) const
{
    const std::lock_guard lock(m_mutex);
    std::map<std::pair<std::string, std::string>, const listed_host *> current;
    for (const auto &[visibleAt, host] : m_hostChanges) {
        if (visibleAt <= now)
            current[{ host.host, host.address }] = &host;
    }
    nlohmann::json list = nlohmann::json::array();
    for (const auto &item : current) {
        const listed_host &host = *item.second;
        if (host.state == "gone")
            continue;
        list.push_back({ { "host", host.host },
                         { "address", host.address },
                         { "role", host.role },
                         { "state", host.state },
                         { "incarnation", host.incarnation } });
    }
    return { { "hosts", list } };
}

bool platform_model::takeWeightLoad(time_point now)
{
    const std::lock_guard lock(m_mutex);
    return m_weightBucket.take(1, now);
}

} // namespace fescuedeck::standins
