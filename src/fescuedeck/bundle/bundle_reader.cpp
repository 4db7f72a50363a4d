#include "fescuedeck/bundle/bundle_reader.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>
#include <optional>
#include <set>
#include <string_view>

namespace fescuedeck::detail {
namespace {

using json = nlohmann::json;

constexpr std::size_t maxTextSize = 512;
constexpr int maxLayers = 100'000;
constexpr int maxTokensLimit = 10'000'000;
constexpr int maxQueueLimit = 1'000'000;
constexpr double maxTokensPerSecond = 1e9;
constexpr double maxWeight = 1e6;
constexpr duration maxDuration = std::chrono::hours(24);

struct unit
{
    std::string_view suffix;
    std::int64_t micros;
};
// Longer suffixes first: "ms" also ends with "s".
constexpr unit units[] = { { "us", 1 }, { "ms", 1000 }, { "s", 1'000'000 } };

template <class T>
std::optional<T> parseNumber(std::string_view text)
{
    T value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

std::optional<std::int64_t> toInteger(const json &node)
{
    if (node.is_string())
        return parseNumber<std::int64_t>(node.get_ref<const std::string &>());
    if (node.is_number_unsigned()
        && node.get<std::uint64_t>() > std::numeric_limits<std::int64_t>::max())
        return std::nullopt;
    if (node.is_number_integer())
        return node.get<std::int64_t>();
    return std::nullopt;
}

std::optional<double> toNumber(const json &node)
{
    if (node.is_string())
        return parseNumber<double>(node.get_ref<const std::string &>());
    if (node.is_number())
        return node.get<double>();
    return std::nullopt;
}

std::optional<bool> toFlag(const json &node)
{
    if (node.is_boolean())
        return node.get<bool>();
    if (node == "true")
        return true;
    if (node == "false")
        return false;
    return std::nullopt;
}

std::optional<duration> toDuration(const json &node)
{
    if (!node.is_string())
        return std::nullopt;
    const std::string_view text = node.get_ref<const std::string &>();
    for (const unit &candidate : units) {
        if (text.size() <= candidate.suffix.size()
            || text.substr(text.size() - candidate.suffix.size()) != candidate.suffix)
            continue;
        const auto count
                = parseNumber<std::int64_t>(text.substr(0, text.size() - candidate.suffix.size()));
        if (!count || *count < 0 || *count > maxDuration.count() / candidate.micros)
            return std::nullopt;
        return duration(*count * candidate.micros);
    }
    return std::nullopt;
}

std::optional<layer_range> toLayers(const json &node)
{
    if (!node.is_string())
        return std::nullopt;
    const std::string_view text = node.get_ref<const std::string &>();
    const std::size_t hyphen = text.find('-');
    if (hyphen == std::string_view::npos)
        return std::nullopt;
    const auto begin = parseNumber<int>(text.substr(0, hyphen));
    const auto end = parseNumber<int>(text.substr(hyphen + 1));
    if (!begin || !end || *begin < 0 || *begin >= *end || *end > maxLayers)
        return std::nullopt;
    return layer_range{ *begin, *end };
}

bool isPrintable(const std::string &text)
{
    return std::all_of(text.begin(), text.end(), [](char c) {
        const auto byte = static_cast<unsigned char>(c);
        return byte >= 0x20 && byte != 0x7f;
    });
}

std::string describe(const json &node)
{
    constexpr std::size_t shown = 60;
    const std::string text = node.dump(-1, ' ', true, json::error_handler_t::replace);
    return text.size() <= shown ? text : text.substr(0, shown) + "...";
}

// Keeps the first problem of a document.
struct document
{
    const line_map &lines;
    std::optional<failure> error;

    void fail(const std::string &path, const std::string &problem)
    {
        if (!error)
            error = makeFailure(errc::InvalidBundle,
                                path + lineSuffix(lines, path) + ": " + problem);
    }
};

// Reads the fields of one object and refuses those that nobody asked for. Accessors return a
// default after a problem.
class object_reader
{
public:
    object_reader(document &doc, const json &node, std::string path)
        : m_document(doc)
        , m_node(node)
        , m_path(std::move(path))
    {
        if (!m_node.is_object())
            m_document.fail(m_path.empty() ? "bundle" : m_path, "expected a map of fields");
    }

    std::string text(const std::string &name)
    {
        const json *node = required(name);
        return node == nullptr ? std::string() : textOf(*node, pathOf(name));
    }

    std::int64_t integer(const std::string &name, std::int64_t min, std::int64_t max)
    {
        const std::string expected
                = "an integer from " + std::to_string(min) + " to " + std::to_string(max);
        const auto value = parsed<std::int64_t>(required(name), name, toInteger, expected);
        if (value < min || value > max)
            m_document.fail(pathOf(name), "expected " + expected);
        return value;
    }

    int smallInteger(const std::string &name, int min, int max)
    {
        return static_cast<int>(integer(name, min, max));
    }

    double positiveNumber(const std::string &name, double max)
    {
        const std::string expected = "a number above 0 and up to " + json(max).dump();
        const auto value = parsed<double>(required(name), name, toNumber, expected);
        if (!(value > 0 && value <= max))
            m_document.fail(pathOf(name), "expected " + expected);
        return value;
    }

    bool flag(const std::string &name)
    {
        return parsed<bool>(required(name), name, toFlag, "true or false");
    }

    duration span(const std::string &name)
    {
        return parsed<duration>(required(name), name, toDuration,
                                "a duration with its unit, such as 38ms, up to 24 hours");
    }

    layer_range layers(const std::string &name)
    {
        return parsed<layer_range>(required(name), name, toLayers,
                                   "a half-open range of layers, such as 0-16");
    }

    std::vector<std::string> texts(const std::string &name)
    {
        std::vector<std::string> values;
        forEach(name, [&](const json &node, const std::string &path) {
            values.push_back(textOf(node, path));
        });
        return values;
    }

    template <class T>
    std::vector<T> list(const std::string &name, T (*read)(object_reader &))
    {
        std::vector<T> values;
        forEach(name, [&](const json &node, const std::string &path) {
            object_reader reader(m_document, node, path);
            values.push_back(read(reader));
            reader.refuseUnknown();
        });
        return values;
    }

    void refuseUnknown()
    {
        if (!m_node.is_object())
            return;
        for (const auto &field : m_node.items()) {
            if (m_known.count(field.key()) == 0)
                m_document.fail(pathOf(field.key()), "unknown field; remove it");
        }
    }

private:
    std::string pathOf(const std::string &name) const
    {
        return m_path.empty() ? name : m_path + "." + name;
    }

    const json *find(const std::string &name)
    {
        m_known.insert(name);
        if (!m_node.is_object())
            return nullptr;
        const auto found = m_node.find(name);
        return found == m_node.end() ? nullptr : &*found;
    }

    const json *required(const std::string &name)
    {
        const json *node = find(name);
        if (node == nullptr)
            m_document.fail(pathOf(name), "required field is missing; add it");
        return node;
    }

    std::string textOf(const json &node, const std::string &path)
    {
        const bool isText = node.is_string();
        const std::string value = isText ? node.get<std::string>() : std::string();
        if (value.empty() || value.size() > maxTextSize || !isPrintable(value))
            m_document.fail(path, "expected a printable text of 1 to " + std::to_string(maxTextSize)
                                          + " bytes, got " + describe(node));
        return value;
    }

    template <class T, class Convert>
    T parsed(const json *node, const std::string &name, Convert convert,
             const std::string &expected)
    {
        if (node == nullptr)
            return T{};
        const std::optional<T> value = convert(*node);
        if (!value)
            m_document.fail(pathOf(name), "expected " + expected + ", got " + describe(*node));
        return value.value_or(T{});
    }

    // A missing list is an empty one.
    template <class Visit>
    void forEach(const std::string &name, Visit visit)
    {
        const json *node = find(name);
        if (node == nullptr)
            return;
        if (!node->is_array()) {
            m_document.fail(pathOf(name), "expected a list, got " + describe(*node));
            return;
        }
        for (std::size_t i = 0; i < node->size(); ++i)
            visit((*node)[i], pathOf(name) + "[" + std::to_string(i) + "]");
    }

    document &m_document;
    const json &m_node;
    std::string m_path;
    std::set<std::string> m_known;
};

model_spec readModel(object_reader &reader)
{
    model_spec model;
    model.name = reader.text("name");
    model.version = reader.text("version");
    model.layers = reader.smallInteger("layers", 1, maxLayers);
    model.adapters = reader.texts("adapters");
    model.maxTokens = reader.smallInteger("max_tokens", 1, maxTokensLimit);
    model.firstTokenDeadline = reader.span("first_token_deadline");
    model.stepDeadline = reader.span("step_deadline");
    return model;
}

endpoint_spec readReplica(object_reader &reader)
{
    endpoint_spec replica;
    replica.id = reader.text("id");
    replica.host = reader.text("host");
    replica.failureDomain = reader.text("failure_domain");
    replica.address = reader.text("address");
    return replica;
}

endpoint_spec readEndpoint(object_reader &reader)
{
    endpoint_spec endpoint = readReplica(reader);
    endpoint.accelerator = reader.text("accelerator");
    endpoint.model = reader.text("model");
    endpoint.version = reader.text("version");
    endpoint.layers = reader.layers("layers");
    endpoint.tokensPerSecond = reader.positiveNumber("tokens_per_second", maxTokensPerSecond);
    endpoint.checksFencing = reader.flag("checks_fencing");
    return endpoint;
}

operation_spec readOperation(object_reader &reader)
{
    operation_spec operation;
    operation.method = reader.text("method");
    operation.path = reader.text("path");
    operation.idempotent = reader.flag("idempotent");
    return operation;
}

service_spec readService(object_reader &reader)
{
    service_spec service;
    service.name = reader.text("name");
    service.prefix = reader.text("prefix");
    service.operations = reader.list("operations", readOperation);
    service.replicas = reader.list("replicas", readReplica);
    service.deadline = reader.span("deadline");
    service.maxStaleness = reader.span("max_staleness");
    return service;
}

workspace_spec readWorkspace(object_reader &reader)
{
    workspace_spec workspace;
    workspace.name = reader.text("name");
    workspace.tokenHashes = reader.texts("token_hashes");
    workspace.models = reader.texts("models");
    workspace.services = reader.texts("services");
    workspace.weight = reader.positiveNumber("weight", maxWeight);
    workspace.queueLimit = reader.smallInteger("queue_limit", 1, maxQueueLimit);
    return workspace;
}

approver_spec readApprover(object_reader &reader)
{
    approver_spec approver;
    approver.keyId = reader.text("key_id");
    approver.publicKey = reader.text("public_key");
    return approver;
}

} // namespace

result<bundle> readBundle(const nlohmann::json &tree, const line_map &lines)
{
    constexpr std::int64_t maxVersion = std::numeric_limits<std::int64_t>::max();
    document doc{ lines, std::nullopt };
    object_reader reader(doc, tree, "");
    bundle content;
    content.version = reader.integer("version", 1, maxVersion);
    content.parent = reader.integer("parent", 0, maxVersion);
    content.models = reader.list("models", readModel);
    content.endpoints = reader.list("endpoints", readEndpoint);
    content.services = reader.list("services", readService);
    content.workspaces = reader.list("workspaces", readWorkspace);
    content.approvers = reader.list("approvers", readApprover);
    reader.refuseUnknown();
    if (doc.error)
        return *doc.error;
    return content;
}

std::string lineSuffix(const line_map &lines, std::string path)
{
    while (true) {
        const auto found = lines.find(path);
        if (found != lines.end())
            return " (line " + std::to_string(found->second) + ")";
        const std::size_t end = path.find_last_of(".[");
        if (end == std::string::npos)
            return "";
        path.resize(end);
    }
}

} // namespace fescuedeck::detail
