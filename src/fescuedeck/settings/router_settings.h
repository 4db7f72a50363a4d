// Settings of fescuedeck_router: what a host must know before it reaches the platform. Everything
// else is in the bundle.
#ifndef FESCUEDECK_SETTINGS_ROUTER_SETTINGS_H
#define FESCUEDECK_SETTINGS_ROUTER_SETTINGS_H

#include <cstdint>
#include <string>
#include <vector>

#include "fescuedeck/base/error.h"
#include "fescuedeck/base/time.h"

namespace fescuedeck {

struct approver_setting
{
    std::string keyId;
    std::string publicKey; // Ed25519, hex
};

struct peer_settings
{
    std::string address;                               // listens here; empty without peers
    std::vector<std::string> addresses;                // the other routers
    std::string secretFile;                            // relative to the settings file
    std::string secret;                                // content of secretFile
    duration digestInterval = std::chrono::seconds(1); // a digest is sent at least this often
    duration digestExpiry = std::chrono::seconds(3);   // older digests are not used
};

struct limit_settings
{
    std::int64_t bodyBytes = 1048576;
    std::int64_t headerBytes = 16384;
    std::int64_t connections = 4096;
    std::int64_t draftsInFlight = 256; // admitted drafts; others wait in the fair queue
};

struct timing_settings
{
    // After SIGTERM the router still accepts for this long, until the balancer has seen /readyz
    // fail.
    duration shutdownNotice = std::chrono::seconds(2);
    duration shutdownTimeout = std::chrono::seconds(120); // then in-flight requests are abandoned
    duration isolationTimeout = std::chrono::seconds(5); // reaches neither log nor peers: not ready
    duration reportInterval = std::chrono::milliseconds(500); // engines' load reports are read
    duration hostListInterval = std::chrono::seconds(1);
    duration logTimeout = std::chrono::seconds(2); // one append or read of the log
    duration connectTimeout = std::chrono::milliseconds(500);
    duration stepTimeoutFloor = std::chrono::milliseconds(250); // shortest deadline of one hop
};

struct log_service_settings
{
    std::string address;
    duration retention = std::chrono::hours(24);         // how long the log keeps records
    duration retentionMargin = std::chrono::minutes(10); // keys expire this much earlier
    std::int64_t claimPartitions = 4;
    std::int64_t weightLoadsPerSecond = 2; // limit of the weight store, for all routers together
};

struct router_settings
{
    std::string routerId;
    std::string deployment;
    std::int64_t cell = 0;
    std::string failureDomain;
    std::string callersAddress;
    std::string operatorsAddress;
    peer_settings peers;
    log_service_settings platform;
    std::vector<approver_setting> approvers; // of the first bundle
    limit_settings limits;
    timing_settings timing;
    std::int64_t workers = 4;      // threads
    std::int64_t maxTraces = 1000; // kept for /traces
    std::string logLevel = "info";
    std::uint64_t seed = 0; // of all random choices; 0 takes one from the system
};

// Reads and checks a file. The failure's detail has one line for each problem, with file, line,
// field and remedy.
result<router_settings> loadRouterSettings(const std::string &path);
// The same from text; secretFile is read relative to directory.
result<router_settings> parseRouterSettings(const std::string &yaml, const std::string &fileName,
                                            const std::string &directory);

} // namespace fescuedeck

#endif
