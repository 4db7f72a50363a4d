#include "fescuedeck/control/control_record.h"

#include <limits>
#include <map>
#include <optional>

#include <nlohmann/json.hpp>

#include "fescuedeck/base/hash.h"

namespace fescuedeck {
namespace {

using json = nlohmann::json;

constexpr std::size_t maxNameSize = 512;
// A bundle of the planned size (16,000 accelerators, 4,300 workspaces) takes about 5 MB.
constexpr std::size_t maxContentSize = 16U << 20U;
// A state holds the bundle in force, the pending proposals and the tables of bounded size.
constexpr std::size_t maxStateSize = 64U << 20U;
// If the holder of a longer lease died, its models would get no orders for too long.
constexpr std::int64_t maxLeaseDurationMillis = 600'000;

bool isInt64(const json &value)
{
    constexpr std::uint64_t max = std::numeric_limits<std::int64_t>::max();
    return value.is_number_unsigned() ? value.get<std::uint64_t>() <= max
                                      : value.is_number_integer();
}

// Reads typed fields of a record's body and keeps the first error.
class body_reader
{
public:
    explicit body_reader(const json &body)
        : m_body(body)
    {
    }

    std::string text(const char *name, std::size_t maxSize = maxNameSize)
    {
        const auto found = m_body.find(name);
        if (found != m_body.end() && found->is_string()) {
            const auto &value = found->get_ref<const std::string &>();
            if (!value.empty() && value.size() <= maxSize)
                return value;
        }
        fail(name, "text of 1 to " + std::to_string(maxSize) + " bytes");
        return "";
    }

    std::string optionalText(const char *name)
    {
        return m_body.contains(name) ? text(name) : std::string();
    }

    std::int64_t integer(const char *name, std::int64_t min)
    {
        const auto found = m_body.find(name);
        if (found != m_body.end() && isInt64(*found) && found->get<std::int64_t>() >= min)
            return found->get<std::int64_t>();
        fail(name, "integer of at least " + std::to_string(min));
        return min;
    }

    unix_millis leaseDuration(const char *name)
    {
        const std::int64_t millis = integer(name, 1);
        if (millis > maxLeaseDurationMillis)
            fail(name,
                 "lease duration of at most " + std::to_string(maxLeaseDurationMillis) + " ms");
        return unix_millis(millis);
    }

    const std::optional<failure> &error() const { return m_error; }

private:
    void fail(const std::string &name, const std::string &expected)
    {
        if (!m_error)
            m_error = makeFailure(errc::InvalidMessage, "field " + name + ": expected " + expected);
    }

    const json &m_body;
    std::optional<failure> m_error;
};

control_record readProposed(body_reader &body)
{
    return bundle_proposed{ body.integer("version", 1), body.integer("parent", 0),
                            body.text("hash"), body.text("content", maxContentSize) };
}

control_record readSigned(body_reader &body)
{
    return bundle_signed{ body.integer("version", 1), body.text("hash"), body.text("key_id"),
                          body.text("signature") };
}

control_record readLease(body_reader &body)
{
    return lease_requested{ body.text("model"), body.text("holder"), body.integer("follows", -1),
                            body.leaseDuration("term_ms") };
}

control_record readDrain(body_reader &body)
{
    return host_drained{ body.text("host") };
}

control_record readUndrain(body_reader &body)
{
    return host_undrained{ body.text("host") };
}

control_record readQuarantine(body_reader &body)
{
    return request_quarantined{ body.text("fingerprint"), body.integer("crashes", 1) };
}

control_record readCheckpoint(body_reader &body)
{
    return checkpoint_taken{ body.text("state", maxStateSize), body.integer("covers", 0),
                             body.optionalText("mac") };
}

using record_reader = control_record (*)(body_reader &);

const std::map<std::string, record_reader> &readers()
{
    static const std::map<std::string, record_reader> table = {
        { "bundle_proposed", readProposed },
        { "bundle_signed", readSigned },
        { "lease", readLease },
        { "drain", readDrain },
        { "undrain", readUndrain },
        { "quarantine", readQuarantine },
        { "checkpoint", readCheckpoint },
    };
    return table;
}

struct body_writer
{
    json operator()(const bundle_proposed &record) const
    {
        return { { "type", "bundle_proposed" },
                 { "version", record.version },
                 { "parent", record.parent },
                 { "hash", record.hash },
                 { "content", record.content } };
    }
    json operator()(const bundle_signed &record) const
    {
        return { { "type", "bundle_signed" },
                 { "version", record.version },
                 { "hash", record.hash },
                 { "key_id", record.keyId },
                 { "signature", record.signature } };
    }
    json operator()(const lease_requested &record) const
    {
        return { { "type", "lease" },
                 { "model", record.model },
                 { "holder", record.holder },
                 { "follows", record.follows },
                 { "term_ms", record.leaseDuration.count() } };
    }
    json operator()(const host_drained &record) const
    {
        return { { "type", "drain" }, { "host", record.host } };
    }
    json operator()(const host_undrained &record) const
    {
        return { { "type", "undrain" }, { "host", record.host } };
    }
    json operator()(const request_quarantined &record) const
    {
        return { { "type", "quarantine" },
                 { "fingerprint", record.fingerprint },
                 { "crashes", record.crashes } };
    }
    json operator()(const checkpoint_taken &record) const
    {
        json body = { { "type", "checkpoint" },
                      { "state", record.state },
                      { "covers", record.covers } };
        if (!record.mac.empty())
            body["mac"] = record.mac;
        return body;
    }
    json operator()(const unknown_record &record) const { return { { "type", record.type } }; }
};

} // namespace

result<control_record> parseControlRecord(const std::string &body)
{
    const json tree = json::parse(body, nullptr, false);
    if (!tree.is_object())
        return makeFailure(errc::InvalidMessage, "the record's body is not a JSON object");
    body_reader reader(tree);
    const std::string type = reader.text("type");
    if (reader.error())
        return *reader.error();
    const auto found = readers().find(type);
    if (found == readers().end())
        return control_record(unknown_record{ type });
    control_record record = found->second(reader);
    if (reader.error())
        return *reader.error();
    return record;
}

std::string recordBody(const control_record &record)
{
    return std::visit(body_writer(), record).dump(-1, ' ', true, json::error_handler_t::replace);
}

std::string checkpointMac(const std::string &key, const std::string &state)
{
    return hmacSha256Hex(key, "fescuedeck checkpoint v1:" + state);
}

} // namespace fescuedeck
