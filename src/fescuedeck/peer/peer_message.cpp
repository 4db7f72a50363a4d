#include "fescuedeck/peer/peer_message.h"

#include <algorithm>
#include <limits>
#include <vector>

#include <nlohmann/json.hpp>

namespace fescuedeck {
namespace {

using nlohmann::json;

// Deeper frames are refused before the recursive decoder of the JSON library sees them.
constexpr int maxDepth = 8;
constexpr std::size_t maxIdBytes = 512;
// A router has fewer streams than this on one endpoint.
constexpr double maxAmount = 1e6;
constexpr std::size_t maxListItems = 10000;

// Accepts a frame whose nesting and stated lengths are within limits.
class frame_limiter : public nlohmann::json_sax<json>
{
public:
    explicit frame_limiter(std::size_t frameBytes)
        : m_frameBytes(frameBytes)
    {
    }

    bool null() override { return true; }
    bool boolean(bool) override { return true; }
    bool number_integer(number_integer_t) override { return true; }               // NOLINT
    bool number_unsigned(number_unsigned_t) override { return true; }             // NOLINT
    bool number_float(number_float_t, const string_t &) override { return true; } // NOLINT
    bool string(string_t &) override { return true; }
    bool binary(binary_t &) override { return true; }
    bool start_object(std::size_t size) override { return enter(size); } // NOLINT
    bool key(string_t &) override { return true; }
    bool end_object() override { return leave(); }                      // NOLINT
    bool start_array(std::size_t size) override { return enter(size); } // NOLINT
    bool end_array() override { return leave(); }                       // NOLINT
    bool parse_error(std::size_t, const std::string &,                  // NOLINT
                     const nlohmann::detail::exception &) override
    {
        return false;
    }

private:
    // Each element takes at least one byte, so that a greater size is false. The decoder throws on
    // the largest ones. An unstated size is the greatest value of the type.
    bool enter(std::size_t size)
    {
        const bool isStated = size != std::numeric_limits<std::size_t>::max();
        return ++m_depth <= maxDepth && (!isStated || size <= m_frameBytes);
    }
    bool leave()
    {
        --m_depth;
        return true;
    }

    std::size_t m_frameBytes;
    int m_depth = 0;
};

// Reads fields and remembers the first one that is missing or invalid.
class field_reader
{
public:
    explicit field_reader(const json &object)
        : m_object(object)
    {
    }

    const std::string &invalidField() const { return m_invalidField; }
    void reject(const char *name)
    {
        if (m_invalidField.empty())
            m_invalidField = name;
    }

    std::string text(const char *name, std::size_t maxBytes = maxIdBytes)
    {
        const json *value = find(name);
        const auto *found = value ? value->get_ptr<const std::string *>() : nullptr;
        if (found && found->size() <= maxBytes)
            return *found;
        reject(name);
        return {};
    }

    // An identifier that may be logged as it is.
    std::string identifier(const char *name)
    {
        std::string value = text(name);
        const bool isPrintable = std::all_of(value.begin(), value.end(),
                                             [](char c) { return c > ' ' && c < '\x7f'; });
        if (value.empty() || !isPrintable)
            reject(name);
        return value;
    }

    std::int64_t integer(const char *name, std::int64_t least, std::int64_t greatest)
    {
        const json *value = find(name);
        return value ? toInteger(*value, name, least, greatest) : 0;
    }

    std::set<std::string> textSet(const char *name)
    {
        std::set<std::string> values;
        const json *list = find(name);
        if (!list || !list->is_array()) {
            reject(name);
            return values;
        }
        for (const json &item : *list) {
            const auto *found = item.get_ptr<const std::string *>();
            if (found && found->size() <= maxIdBytes)
                values.insert(*found);
            else
                reject(name);
        }
        return values;
    }

    std::map<std::string, double> amounts(const char *name)
    {
        std::map<std::string, double> values;
        const json *object = find(name);
        if (!object || !object->is_object()) {
            reject(name);
            return values;
        }
        for (const auto &[key, value] : object->items()) {
            values[key] = toAmount(value, name);
            if (key.size() > maxIdBytes)
                reject(name);
        }
        return values;
    }

    // From 0 to maxAmount.
    double amount(const char *name)
    {
        const json *value = find(name);
        return value ? toAmount(*value, name) : 0;
    }

    bool flag(const char *name)
    {
        const json *value = find(name);
        if (value && value->is_boolean())
            return value->get<bool>();
        reject(name);
        return false;
    }

    // Calls read with the fields of each element of a list of objects.
    template <class Function>
    void forEach(const char *name, Function read)
    {
        const json *list = find(name);
        if (!list || !list->is_array() || list->size() > maxListItems) {
            reject(name);
            return;
        }
        for (const json &item : *list) {
            field_reader fields(item);
            if (item.is_object())
                read(fields);
            if (!item.is_object() || !fields.invalidField().empty())
                reject(name);
        }
    }

    // Null if the object has no such field.
    const json *optional(const char *name) const
    {
        const auto found = m_object.find(name);
        return found == m_object.end() ? nullptr : &*found;
    }

private:
    const json *find(const char *name)
    {
        const json *value = optional(name);
        if (!value)
            reject(name);
        return value;
    }

    double toAmount(const json &value, const char *name)
    {
        const double amount = value.is_number() ? value.get<double>() : -1;
        if (!(amount >= 0 && amount <= maxAmount))
            reject(name);
        return amount;
    }

    std::int64_t toInteger(const json &value, const char *name, std::int64_t least,
                           std::int64_t greatest)
    {
        const bool isTooGreat
                = value.is_number_unsigned()
                  && value.get<std::uint64_t>() > static_cast<std::uint64_t>(greatest);
        if (!value.is_number_integer() || isTooGreat || value.get<std::int64_t>() < least
            || value.get<std::int64_t>() > greatest) {
            reject(name);
            return 0;
        }
        return value.get<std::int64_t>();
    }

    const json &m_object;
    std::string m_invalidField;
};

constexpr std::int64_t maxPosition = std::numeric_limits<int>::max();
constexpr std::int64_t maxInteger = std::numeric_limits<std::int64_t>::max();

json encode(const peer_hello &message)
{
    return { { "type", "hello" },
             { "deployment", message.deployment },
             { "cell", message.cell },
             { "router", message.router },
             { "incarnation", message.incarnation },
             { "nonce", message.nonce } };
}

json encode(const peer_proof &message)
{
    return { { "type", "proof" }, { "hmac", message.hmac } };
}

std::int64_t toMillis(duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

json encode(const crash_reports &reports)
{
    json crashes = json::array();
    for (const auto &[incarnation, report] : reports.crashes) {
        json suspects = json::array();
        for (const auto &[segment, suspect] : report.suspects) {
            suspects.push_back({ { "segment", segment },
                                 { "depth", suspect.depth },
                                 { "requests", json(suspect.requests) } });
        }
        crashes.push_back({ { "incarnation", incarnation },
                            { "age_ms", toMillis(report.age) },
                            { "suspects", std::move(suspects) },
                            { "requests", json(report.requests) } });
    }
    json begun = json::array();
    for (const auto &[segment, age] : reports.begun)
        begun.push_back({ { "segment", segment }, { "age_ms", toMillis(age) } });
    return { { "crashes", std::move(crashes) }, { "begun", std::move(begun) } };
}

json encode(const request_limit_reports &reports)
{
    json limits = json::array();
    for (const auto &[incarnation, report] : reports) {
        json limit = { { "incarnation", incarnation },
                       { "age_ms", toMillis(report.age) },
                       { "demand", report.demand } };
        if (report.perSecond)
            limit["per_second"] = *report.perSecond;
        limits.push_back(std::move(limit));
    }
    return limits;
}

json encodeQuarantines(const std::map<std::string, duration> &quarantines)
{
    json list = json::array();
    for (const auto &[key, remaining] : quarantines)
        list.push_back({ { "key", key }, { "remaining_ms", toMillis(remaining) } });
    return list;
}

json encode(const waiting_work &waiting)
{
    json list = json::array();
    for (const auto &[key, work] : waiting) {
        list.push_back({ { "service", key.first },
                         { "rank", key.second },
                         { "work", std::min(work, maxAmount) } });
    }
    return list;
}

json encode(const table_report &report)
{
    json positions = json::array();
    for (const auto &[table, position] : report.positions) {
        positions.push_back(
                { { "table", table }, { "epoch", position.epoch }, { "next", position.next } });
    }
    return { { "access", std::string(nameOf(storeAccessNames, report.access)) },
             { "positions", std::move(positions) } };
}

json encode(const table_records &message)
{
    json records = json::array();
    for (const table_record &record : message.records) {
        records.push_back({ { "key", record.key },
                            { "value", record.value },
                            { "offset", record.offset },
                            { "removal", record.isRemoval } });
    }
    return { { "type", "table_records" },      { "table", message.table },
             { "epoch", message.epoch },       { "from", message.from },
             { "next", message.next },         { "whole", message.isWhole },
             { "records", std::move(records) } };
}

json encode(const peer_digest &message)
{
    json object = { { "type", "digest" },
                    { "version", message.version },
                    { "hash", message.hash },
                    { "offset", message.offset },
                    { "in_flight", json(message.inFlight) },
                    { "suspects", json(message.suspects) },
                    { "leaving", json(message.leaving) },
                    { "drained", json(message.drained) },
                    { "quarantined", json(message.quarantined) },
                    { "quarantines", encodeQuarantines(message.quarantines) },
                    { "crash_reports", encode(message.crashes) },
                    { "request_limits", encode(message.limits) },
                    { "relay_address", message.relayAddress },
                    { "reaches_endpoints", message.reachesEndpoints },
                    { "last_resort", message.isLastResort },
                    { "retry_offers", json(message.retryOffers) } };
    if (!message.waiting.empty())
        object["waiting"] = encode(message.waiting);
    if (message.tables)
        object["tables"] = encode(*message.tables);
    return object;
}

json encode(const retry_request &message)
{
    return { { "type", "retry_request" },
             { "service", message.service },
             { "count", message.count },
             { "requested_at", message.requestedAt } };
}

json encode(const retry_loan &message)
{
    return { { "type", "retry_loan" },
             { "service", message.service },
             { "count", message.count },
             { "requested_at", message.requestedAt } };
}

json encode(const bundle_request &message)
{
    return { { "type", "bundle_request" }, { "version", message.version } };
}

json encode(const bundle_state &message)
{
    return { { "type", "bundle_state" }, { "checkpoint", message.checkpoint } };
}

json encode(const outcome_request &message)
{
    return { { "type", "outcome_request" }, { "key", message.key } };
}

json encode(const outcome_reply &message)
{
    json object = { { "type", "outcome" },
                    { "key", message.key },
                    { "status", std::string(nameOf(outcomeStatusNames, message.status)) } };
    if (message.answer) {
        object["answer"] = { { "status", message.answer->status },
                             { "content_type", message.answer->contentType },
                             { "body", message.answer->body } };
    }
    return object;
}

json encode(const std::vector<crash_evidence> &evidence)
{
    json list = json::array();
    for (const crash_evidence &each : evidence) {
        list.push_back({ { "fingerprint", each.fingerprint },
                         { "endpoint", each.endpoint },
                         { "incarnation", each.incarnation },
                         { "started_ms", each.startedAt.count() },
                         { "crashed_ms", each.crashedAt.count() },
                         { "position", each.position },
                         { "ran_alone", each.ranAlone },
                         { "passed", each.isPositionPassed },
                         { "cleared", each.isCleared } });
    }
    return list;
}

json encode(const announce_evidence &message)
{
    return { { "type", "crash_evidence" }, { "evidence", encode(message.evidence) } };
}

json encode(const request_exclusive_run &message)
{
    return { { "type", "lone_run_request" },
             { "fingerprint", message.fingerprint },
             { "endpoint", message.endpoint },
             { "ticket", message.ticket } };
}

json encode(const exclusive_run_reply &message)
{
    return { { "type", "lone_run_reply" },
             { "ticket", message.ticket },
             { "granted", message.isGranted },
             { "evidence", encode(message.evidence) } };
}

json encode(const announce_exclusive_run &message)
{
    return { { "type", "lone_run_started" },
             { "ticket", message.ticket },
             { "started_ms", message.startedAt.count() },
             { "position", message.position } };
}

json encode(const release_exclusive_run &message)
{
    return { { "type", "lone_run_released" }, { "ticket", message.ticket } };
}

peer_message parseHello(field_reader &fields)
{
    peer_hello message;
    message.deployment = fields.identifier("deployment");
    message.cell = fields.identifier("cell");
    message.router = fields.identifier("router");
    message.incarnation = fields.identifier("incarnation");
    message.nonce = fields.identifier("nonce");
    return message;
}

peer_message parseProof(field_reader &fields)
{
    return peer_proof{ fields.identifier("hmac") };
}

crash_suspect parseSuspect(field_reader &fields)
{
    crash_suspect suspect;
    suspect.depth = static_cast<int>(fields.integer("depth", 0, maxPosition));
    suspect.requests = fields.textSet("requests");
    return suspect;
}

std::chrono::milliseconds parseAge(field_reader &fields)
{
    return std::chrono::milliseconds(fields.integer("age_ms", 0, maxPosition));
}

crash_reports parseCrashReports(field_reader &fields)
{
    crash_reports reports;
    fields.forEach("crashes", [&](field_reader &crash) {
        crash_report &report = reports.crashes[crash.identifier("incarnation")];
        report.age = parseAge(crash);
        crash.forEach("suspects", [&](field_reader &suspect) {
            report.suspects[suspect.text("segment")] = parseSuspect(suspect);
        });
        // Gateways of an earlier version do not send them.
        if (crash.optional("requests"))
            report.requests = crash.textSet("requests");
    });
    fields.forEach("begun", [&](field_reader &begun) {
        reports.begun[begun.text("segment")] = parseAge(begun);
    });
    return reports;
}

request_limit_reports parseRequestLimits(field_reader &fields)
{
    request_limit_reports reports;
    fields.forEach("request_limits", [&](field_reader &limit) {
        request_limit_report &report = reports[limit.identifier("incarnation")];
        report.age = parseAge(limit);
        report.demand = limit.amount("demand");
        if (limit.optional("per_second"))
            report.perSecond = limit.amount("per_second");
    });
    return reports;
}

std::map<std::string, int> parseRetryOffers(field_reader &fields)
{
    std::map<std::string, int> offers;
    for (const auto &[service, count] : fields.amounts("retry_offers"))
        offers[service] = static_cast<int>(std::min<double>(count, maxPosition));
    return offers;
}

waiting_work parseWaiting(field_reader &fields)
{
    constexpr int greatestRank = 9;
    waiting_work waiting;
    fields.forEach("waiting", [&](field_reader &each) {
        const std::string service = each.text("service");
        const auto rank = static_cast<int>(each.integer("rank", 0, greatestRank));
        waiting[{ service, rank }] = each.amount("work");
    });
    return waiting;
}

table_report parseTableReport(field_reader &fields)
{
    table_report report;
    // A state that a later version adds counts as unused.
    report.access = valueOf(storeAccessNames, fields.text("access")).value_or(store_access::Unused);
    fields.forEach("positions", [&](field_reader &item) {
        table_position &position = report.positions[item.identifier("table")];
        position.epoch = item.integer("epoch", 0, maxInteger);
        position.next = item.integer("next", 0, maxInteger);
    });
    return report;
}

peer_message parseTableRecords(field_reader &fields)
{
    table_records message;
    message.table = fields.identifier("table");
    message.epoch = fields.integer("epoch", 0, maxInteger);
    message.from = fields.integer("from", 0, maxInteger);
    message.next = fields.integer("next", 0, maxInteger);
    message.isWhole = fields.flag("whole");
    fields.forEach("records", [&](field_reader &item) {
        table_record record;
        record.key = item.text("key");
        record.value = item.text("value", maxPeerFrameBytes);
        record.offset = item.integer("offset", 0, maxInteger);
        record.isRemoval = item.flag("removal");
        message.records.push_back(std::move(record));
    });
    return message;
}

peer_message parseDigest(field_reader &fields)
{
    peer_digest message;
    message.version = fields.integer("version", 0, maxInteger);
    message.hash = fields.text("hash");
    message.offset = fields.integer("offset", 0, maxInteger);
    message.inFlight = fields.amounts("in_flight");
    message.suspects = fields.textSet("suspects");
    message.leaving = fields.textSet("leaving");
    message.drained = fields.textSet("drained");
    message.quarantined = fields.textSet("quarantined");
    // Gateways of an earlier version send none of these.
    if (fields.optional("quarantines")) {
        fields.forEach("quarantines", [&](field_reader &quarantine) {
            message.quarantines[quarantine.text("key")]
                    = std::chrono::milliseconds(quarantine.integer("remaining_ms", 0, maxPosition));
        });
    }
    if (const json *reports = fields.optional("crash_reports")) {
        field_reader reportFields(*reports);
        message.crashes = parseCrashReports(reportFields);
        if (!reports->is_object() || !reportFields.invalidField().empty())
            fields.reject("crash_reports");
    }
    if (fields.optional("request_limits"))
        message.limits = parseRequestLimits(fields);
    if (fields.optional("relay_address"))
        message.relayAddress = fields.text("relay_address");
    if (fields.optional("reaches_endpoints"))
        message.reachesEndpoints = fields.flag("reaches_endpoints");
    if (fields.optional("last_resort"))
        message.isLastResort = fields.flag("last_resort");
    if (fields.optional("retry_offers"))
        message.retryOffers = parseRetryOffers(fields);
    if (fields.optional("waiting"))
        message.waiting = parseWaiting(fields);
    if (const json *tables = fields.optional("tables")) {
        field_reader tableFields(*tables);
        message.tables = parseTableReport(tableFields);
        if (!tables->is_object() || !tableFields.invalidField().empty())
            fields.reject("tables");
    }
    return message;
}

template <class Message>
peer_message parseRetries(field_reader &fields)
{
    Message message;
    message.service = fields.identifier("service");
    message.count = static_cast<int>(fields.integer("count", 1, maxPosition));
    constexpr std::int64_t latest = std::numeric_limits<std::int64_t>::max();
    message.requestedAt = fields.integer("requested_at", 0, latest);
    return message;
}

peer_message parseBundleRequest(field_reader &fields)
{
    return bundle_request{ fields.integer("version", 0, maxInteger) };
}

peer_message parseBundleState(field_reader &fields)
{
    return bundle_state{ fields.text("checkpoint", maxPeerFrameBytes) };
}

peer_message parseOutcomeRequest(field_reader &fields)
{
    return outcome_request{ fields.text("key") };
}

peer_message parseOutcome(field_reader &fields)
{
    outcome_reply message;
    message.key = fields.text("key");
    const auto status = valueOf(outcomeStatusNames, fields.text("status"));
    if (!status)
        fields.reject("status");
    message.status = status.value_or(outcome_status::Unknown);
    const json *object = fields.optional("answer");
    if (!object)
        return message;
    field_reader answerFields(*object);
    outcome_answer answer;
    answer.status = static_cast<int>(answerFields.integer("status", 100, 999));
    answer.contentType = answerFields.text("content_type");
    answer.body = answerFields.text("body", maxPeerFrameBytes);
    if (!answerFields.invalidField().empty())
        fields.reject("answer");
    message.answer = std::move(answer);
    return message;
}

std::vector<crash_evidence> parseEvidenceList(field_reader &fields)
{
    std::vector<crash_evidence> evidence;
    fields.forEach("evidence", [&](field_reader &item) {
        crash_evidence each;
        each.fingerprint = item.identifier("fingerprint");
        each.endpoint = item.identifier("endpoint");
        each.incarnation = item.text("incarnation");
        each.startedAt = unix_millis(item.integer("started_ms", 0, maxInteger));
        each.crashedAt = unix_millis(item.integer("crashed_ms", 0, maxInteger));
        each.position = static_cast<int>(item.integer("position", 0, maxPosition));
        each.ranAlone = item.flag("ran_alone");
        each.isPositionPassed = item.flag("passed");
        each.isCleared = item.flag("cleared");
        evidence.push_back(std::move(each));
    });
    return evidence;
}

std::uint64_t parseTicket(field_reader &fields)
{
    return static_cast<std::uint64_t>(fields.integer("ticket", 0, maxInteger));
}

peer_message parseEvidence(field_reader &fields)
{
    return announce_evidence{ parseEvidenceList(fields) };
}

peer_message parseLoneRunRequest(field_reader &fields)
{
    request_exclusive_run message;
    message.fingerprint = fields.identifier("fingerprint");
    message.endpoint = fields.identifier("endpoint");
    message.ticket = parseTicket(fields);
    return message;
}

peer_message parseLoneRunReply(field_reader &fields)
{
    exclusive_run_reply message;
    message.ticket = parseTicket(fields);
    message.isGranted = fields.flag("granted");
    message.evidence = parseEvidenceList(fields);
    return message;
}

peer_message parseLoneRunStarted(field_reader &fields)
{
    announce_exclusive_run message;
    message.ticket = parseTicket(fields);
    message.startedAt = unix_millis(fields.integer("started_ms", 0, maxInteger));
    message.position = static_cast<int>(fields.integer("position", 0, maxPosition));
    return message;
}

peer_message parseLoneRunReleased(field_reader &fields)
{
    return release_exclusive_run{ parseTicket(fields) };
}

struct message_parser
{
    std::string_view type;
    peer_message (*parse)(field_reader &);
};

constexpr message_parser parsers[] = {
    { "hello", parseHello },
    { "proof", parseProof },
    { "digest", parseDigest },
    { "bundle_request", parseBundleRequest },
    { "bundle_state", parseBundleState },
    { "outcome_request", parseOutcomeRequest },
    { "outcome", parseOutcome },
    { "crash_evidence", parseEvidence },
    { "lone_run_request", parseLoneRunRequest },
    { "lone_run_reply", parseLoneRunReply },
    { "lone_run_started", parseLoneRunStarted },
    { "lone_run_released", parseLoneRunReleased },
    { "retry_request", parseRetries<retry_request> },
    { "retry_loan", parseRetries<retry_loan> },
    { "table_records", parseTableRecords },
};

failure invalid(const std::string &what)
{
    return makeFailure(errc::InvalidMessage, "peer message " + what);
}

bool isWithinLimits(std::string_view frame)
{
    frame_limiter limiter(frame.size());
    return json::sax_parse(frame.begin(), frame.end(), &limiter, json::input_format_t::cbor);
}

} // namespace

std::string toCbor(const peer_message &message)
{
    const json object = std::visit([](const auto &typed) { return encode(typed); }, message);
    std::string frame;
    json::to_cbor(object, frame);
    return frame;
}

result<peer_message> parsePeerMessage(std::string_view frame, std::size_t maxBytes)
{
    if (frame.size() > maxBytes)
        return invalid("of " + std::to_string(frame.size()) + " bytes is too large");
    if (!isWithinLimits(frame))
        return invalid("is not CBOR or nested too deeply");
    const json object = json::from_cbor(frame.begin(), frame.end(), true, false);
    if (!object.is_object())
        return invalid("is not a map");
    field_reader fields(object);
    const std::string type = fields.text("type");
    for (const message_parser &parser : parsers) {
        if (parser.type != type)
            continue;
        peer_message message = parser.parse(fields);
        if (!fields.invalidField().empty())
            return invalid(type + " has no valid " + fields.invalidField());
        return message;
    }
    return invalid("has an unknown type");
}

} // namespace fescuedeck
