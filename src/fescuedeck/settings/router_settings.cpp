#include "fescuedeck/settings/router_settings.h"

#include <algorithm>
#include <fstream>
#include <optional>
#include <sstream>

#include <yaml-cpp/yaml.h>

#include "fescuedeck/base/hash.h"
#include "fescuedeck/settings/yaml_fields.h"

namespace fescuedeck {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t publicKeyBytes = 32;
constexpr std::size_t shortestSecret = 16; // bytes; shorter secrets can be guessed
constexpr std::int64_t mebibyte = 1048576;

std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return std::nullopt;
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

std::string joinPath(const std::string &directory, const std::string &file)
{
    const bool isAbsolute = !file.empty() && file.front() == '/';
    return isAbsolute || directory.empty() ? file : directory + "/" + file;
}

void readSecret(yaml_fields &fields, peer_settings &peers, const std::string &directory)
{
    if (peers.secretFile.empty())
        return;
    const auto content = readFile(joinPath(directory, peers.secretFile));
    if (!content)
        return fields.problem("secret_file", "cannot be read; check the path and its permissions");
    peers.secret = content->substr(0, content->find_last_not_of(" \r\n\t") + 1);
    if (peers.secret.size() < shortestSecret)
        fields.problem("secret_file", "holds fewer than 16 bytes; write a longer random secret");
}

void readPeers(yaml_fields &fields, peer_settings &peers, const std::string &directory)
{
    fields.address("address", peers.address, true, true);
    fields.addressList("addresses", peers.addresses);
    fields.text("secret_file", peers.secretFile, true);
    fields.time("digest_interval", peers.digestInterval, 50ms, 10s);
    fields.time("digest_expiry", peers.digestExpiry, 100ms, 60s);
    if (peers.digestExpiry < 2 * peers.digestInterval)
        fields.problem("digest_expiry", "must be at least twice digest_interval, so that one lost "
                                        "digest does not expire a peer");
    readSecret(fields, peers, directory);
}

void readPlatform(yaml_fields &fields, log_service_settings &platform)
{
    fields.address("address", platform.address, true, false);
    fields.time("retention", platform.retention, 1s, 24h * 365);
    fields.time("retention_margin", platform.retentionMargin, 0s, 24h * 30);
    fields.integer("claim_partitions", platform.claimPartitions, 1, 1024);
    fields.integer("weight_loads_per_second", platform.weightLoadsPerSecond, 1, 10000);
    if (platform.retentionMargin * 2 > platform.retention)
        fields.problem("retention_margin", "must be at most half of retention");
}

void readLimits(yaml_fields &fields, limit_settings &limits)
{
    fields.bytes("body", limits.bodyBytes, 1024, 64 * mebibyte);
    fields.bytes("header", limits.headerBytes, 1024, mebibyte);
    fields.integer("connections", limits.connections, 1, 100000);
    fields.integer("drafts_in_flight", limits.draftsInFlight, 1, 100000);
}

void readTiming(yaml_fields &fields, timing_settings &timing)
{
    fields.time("shutdown_notice", timing.shutdownNotice, 0s, 60s);
    fields.time("shutdown_timeout", timing.shutdownTimeout, 1s, 1h);
    fields.time("isolation_timeout", timing.isolationTimeout, 500ms, 60s);
    fields.time("report_interval", timing.reportInterval, 50ms, 10s);
    fields.time("host_list_interval", timing.hostListInterval, 50ms, 60s);
    fields.time("log_timeout", timing.logTimeout, 50ms, 30s);
    fields.time("connect_timeout", timing.connectTimeout, 10ms, 10s);
    fields.time("step_timeout_floor", timing.stepTimeoutFloor, 10ms, 10s);
}

void readApprover(yaml_fields &fields, std::vector<approver_setting> &approvers)
{
    approver_setting approver;
    fields.text("key_id", approver.keyId, true);
    fields.text("public_key", approver.publicKey, true);
    const auto key = fromHex(approver.publicKey);
    if (!key || key.value().size() != publicKeyBytes)
        fields.problem("public_key", "must be an Ed25519 key of 64 hexadecimal digits; print one "
                                     "with fescuedeckctl key generate");
    approvers.push_back(std::move(approver));
}

void readRoot(yaml_fields &root, router_settings &settings, const std::string &directory)
{
    root.text("router_id", settings.routerId, true);
    root.text("deployment", settings.deployment, true);
    root.integer("cell", settings.cell, 0, 100000);
    root.text("failure_domain", settings.failureDomain, true);
    root.section("callers", [&](yaml_fields &fields) {
        fields.address("address", settings.callersAddress, true, true);
    });
    root.section("operators", [&](yaml_fields &fields) {
        fields.address("address", settings.operatorsAddress, true, true);
    });
    root.section("peers",
                 [&](yaml_fields &fields) { readPeers(fields, settings.peers, directory); });
    root.section("platform", [&](yaml_fields &fields) { readPlatform(fields, settings.platform); });
    root.list("approvers", [&](yaml_fields &fields) { readApprover(fields, settings.approvers); });
    root.section("limits", [&](yaml_fields &fields) { readLimits(fields, settings.limits); });
    root.section("timing", [&](yaml_fields &fields) { readTiming(fields, settings.timing); });
    root.integer("workers", settings.workers, 1, 256);
    root.integer("max_traces", settings.maxTraces, 0, 1000000);
    root.text("log_level", settings.logLevel);
    std::int64_t seed = 0;
    root.integer("seed", seed, 0, INT64_MAX);
    settings.seed = static_cast<std::uint64_t>(seed);
    root.finish();
}

void requireSections(yaml_fields &root, const router_settings &settings)
{
    if (settings.callersAddress.empty())
        root.problem("callers", "has no valid address; add callers: { address: \"ip:port\" }");
    if (settings.operatorsAddress.empty())
        root.problem("operators", "has no valid address; add operators: { address: \"ip:port\" }");
    if (settings.platform.address.empty())
        root.problem("platform", "has no valid address; add platform: { address: \"ip:port\" }");
    if (settings.approvers.empty())
        root.problem("approvers", "is empty; add the approver of the first bundle");
}

std::string joined(const std::vector<std::string> &lines)
{
    std::string text;
    for (const std::string &line : lines)
        text += (text.empty() ? "" : "\n") + line;
    return text;
}

} // namespace

result<router_settings> parseRouterSettings(const std::string &yaml, const std::string &fileName,
                                            const std::string &directory)
{
    YAML::Node document;
    try {
        document = YAML::Load(yaml);
    } catch (const YAML::ParserException &error) {
        return makeFailure(errc::InvalidSettings, fileName + ":"
                                                          + std::to_string(error.mark.line + 1)
                                                          + ": file: " + error.msg);
    }
    yaml_problems problems(fileName);
    yaml_fields root(document, "", problems);
    router_settings settings;
    readRoot(root, settings, directory);
    requireSections(root, settings);
    if (!problems.lines().empty())
        return makeFailure(errc::InvalidSettings, joined(problems.lines()));
    return settings;
}

result<router_settings> loadRouterSettings(const std::string &path)
{
    const auto content = readFile(path);
    if (!content)
        return makeFailure(errc::InvalidSettings, path + ": file: cannot be read");
    const std::size_t slash = path.rfind('/');
    const std::string directory = slash == std::string::npos ? "" : path.substr(0, slash);
    return parseRouterSettings(*content, path, directory);
}

} // namespace fescuedeck
