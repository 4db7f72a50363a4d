#include "fescuedeck/ctl/bundle_commands.h"

#include <algorithm>

#include "fescuedeck/bundle/signature.h"
#include "fescuedeck/ctl/control_reader.h"
#include "fescuedeck/ctl/router_status.h"

namespace fescuedeck {
namespace {

using json = nlohmann::json;

constexpr duration statusTimeout = std::chrono::seconds(3);
constexpr duration statusPause = std::chrono::milliseconds(200);

control_state newFold(const ctl_options &options)
{
    return control_state({ options.approvers, "" });
}

std::string versionText(std::int64_t version)
{
    return "version " + std::to_string(version);
}

// Text for a log in which no bundle came into force although one was signed.
std::string approversHint(const control_state &state)
{
    if (state.acceptedVersion() != 0 || state.counters().invalidSignOffs == 0)
        return "";
    return "; no sign-off of a first bundle is by a known approver: name the approvers of the "
           "routers' settings with --approvers";
}

command_result resultOf(const control_state &state, const bundle_file &file)
{
    const std::int64_t version = file.content.version;
    const proposal_status status = state.proposalStatus(version, file.hash);
    const json document = { { "version", version },
                            { "hash", file.hash },
                            { "state", proposalStateName(status.state) },
                            { "in_force", state.acceptedVersion() } };
    command_result outcome{ exit_status::Ok, "", document };
    switch (status.state) {
    case proposal_state::Accepted:
        outcome.text
                = versionText(version) + " is accepted, hash " + file.hash
                  + (version < state.acceptedVersion()
                             ? ", and " + versionText(state.acceptedVersion()) + " has replaced it"
                             : "")
                  + "\n";
        return outcome;
    case proposal_state::Superseded:
        outcome = failedResult(makeFailure(
                errc::Superseded, versionText(version) + " is superseded: rebase on version "
                                          + std::to_string(status.rebaseOn)));
        outcome.document.update(document);
        outcome.document["rebase_on"] = status.rebaseOn;
        return outcome;
    default:
        const std::string reason
                = status.reason.empty() ? proposalStateName(status.state) : status.reason;
        outcome = failedResult(makeFailure(errc::InvalidSignature,
                                           versionText(version) + " is not in force: " + reason
                                                   + approversHint(state)));
        outcome.document.update(document);
        return outcome;
    }
}

bool isRunning(const router_answer &answer, std::int64_t version)
{
    return answer.status && answer.status.value().version >= version;
}

command_result waitForRouters(const ctl_hooks &hooks, const ctl_options &options,
                              std::int64_t version, time_point deadline, command_result accepted)
{
    while (true) {
        const auto answers = fetchRouterStatus(hooks, options.routers, statusTimeout);
        const bool isEverywhere
                = std::all_of(answers.begin(), answers.end(), [&](const router_answer &answer) {
                      return isRunning(answer, version);
                  });
        if (!isEverywhere && hooks.now() + statusPause < deadline) {
            hooks.sleep(statusPause);
            continue;
        }
        accepted.document["routers"] = json::array();
        for (const router_answer &answer : answers) {
            accepted.text += routerLine(answer);
            accepted.document["routers"].push_back(routerJson(answer));
        }
        if (!isEverywhere) {
            accepted.status = exit_status::Unavailable;
            accepted.text += "error: not every router states " + versionText(version)
                             + " yet; repeat `fescuedeckctl bundle status`\n";
        }
        return accepted;
    }
}

// Refuses before anything is appended what the log already decides.
std::optional<command_result> refusedEarly(const control_state &state, const bundle_file &file)
{
    const std::int64_t inForce = state.acceptedVersion();
    if (state.proposalStatus(file.content.version, file.hash).state == proposal_state::Accepted)
        return std::nullopt;
    if (file.content.parent == inForce)
        return std::nullopt;
    if (file.content.parent > inForce)
        return failedResult(makeFailure(errc::InvalidBundle,
                                        "parent: " + std::to_string(file.content.parent)
                                                + " is not in force, " + versionText(inForce)
                                                + " is" + approversHint(state)));
    command_result outcome = failedResult(
            makeFailure(errc::Superseded, versionText(file.content.version)
                                                  + " is superseded: rebase on version "
                                                  + std::to_string(inForce)));
    outcome.document["rebase_on"] = inForce;
    return outcome;
}

command_result unknownOutcome(const failure &error, std::int64_t version)
{
    return failedResult(exit_status::Unavailable,
                        makeFailure(errc::LogUnavailable,
                                    error.detail + "; " + versionText(version)
                                            + " may still come into force: publish it again"));
}

// Makes the proposal and sign-off part of the log and folds the log past them.
result<void> appendProposal(const ctl_hooks &hooks, control_state &state, const bundle_file &file,
                            const bundle_signature &signature, time_point deadline)
{
    const bundle_proposed proposal{ file.content.version, file.content.parent, file.hash,
                                    file.canonical };
    const bundle_signed signOff{ signature.version, signature.hash, signature.keyId,
                                 signature.signature };
    const auto offsets = appendRecords(hooks, { proposal, signOff }, deadline);
    if (!offsets)
        return offsets.error();
    return readToEnd(hooks, state, deadline);
}

void addLogStatus(const control_state &state, command_result &outcome)
{
    const std::string hint = approversHint(state);
    if (!hint.empty())
        outcome.status = exit_status::Refused;
    outcome.text = state.acceptedVersion() == 0
                           ? "log: no bundle is in force" + hint + "\n"
                           : "log: " + versionText(state.acceptedVersion()) + ", hash "
                                     + state.acceptedHash() + ", offset "
                                     + std::to_string(state.acceptedOffset()) + "\n";
    outcome.document["bundle"] = { { "version", state.acceptedVersion() },
                                   { "hash", state.acceptedHash() },
                                   { "offset", state.acceptedOffset() } };
}

} // namespace

result<std::vector<approver_spec>> parseApprovers(const std::string &list)
{
    std::vector<approver_spec> approvers;
    for (const std::string &part : splitAddresses(list)) {
        const std::size_t colon = part.rfind(':');
        if (colon == std::string::npos || colon == 0 || !isPublicKey(part.substr(colon + 1)))
            return makeFailure(errc::InvalidRequest,
                               "--approvers: \"" + part + "\" is not KEY_ID:PUBLIC_KEY");
        approvers.push_back({ part.substr(0, colon), part.substr(colon + 1) });
    }
    return approvers;
}

command_result publishBundle(const ctl_hooks &hooks, const ctl_options &options,
                             const bundle_file &file, const bundle_signature &signature)
{
    if (signature.hash != file.hash || signature.version != file.content.version)
        return failedResult(makeFailure(errc::InvalidSignature,
                                        "the signature is of another bundle than the file"));
    const time_point deadline = hooks.now() + options.timeout;
    control_state state = newFold(options);
    if (const auto read = readToEnd(hooks, state, deadline); !read)
        return failedResult(read.error());
    if (const auto refused = refusedEarly(state, file))
        return *refused;
    const bool isAccepted = state.proposalStatus(file.content.version, file.hash).state
                            == proposal_state::Accepted;
    if (!isAccepted) {
        const auto appended = appendProposal(hooks, state, file, signature, deadline);
        if (!appended && appended.error().code == errc::LogUnavailable)
            return unknownOutcome(appended.error(), file.content.version);
        if (!appended)
            return failedResult(appended.error());
    }
    command_result outcome = resultOf(state, file);
    if (outcome.status != exit_status::Ok || !options.wait || options.routers.empty())
        return outcome;
    return waitForRouters(hooks, options, file.content.version, deadline, std::move(outcome));
}

command_result showBundleStatus(const ctl_hooks &hooks, const ctl_options &options)
{
    control_state state = newFold(options);
    const auto read = readToEnd(hooks, state, hooks.now() + options.timeout);
    command_result outcome;
    if (!read)
        outcome = failedResult(read.error());
    else
        addLogStatus(state, outcome);
    outcome.document["routers"] = json::array();
    for (const router_answer &answer : fetchRouterStatus(hooks, options.routers, statusTimeout)) {
        outcome.text += routerLine(answer);
        outcome.document["routers"].push_back(routerJson(answer));
        const bool isSame = answer.status && answer.status.value().hash == state.acceptedHash();
        if (!answer.status)
            outcome.status = exit_status::Unavailable;
        else if (outcome.status == exit_status::Ok && !isSame)
            outcome.status = exit_status::Refused;
    }
    return outcome;
}

} // namespace fescuedeck
