#include "fescuedeck/control/control_state.h"

#include <algorithm>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "fescuedeck/base/random.h"
#include "fescuedeck/bundle/canonical_bundle.h"
#include "fescuedeck/bundle/signature.h"
#include "fescuedeck/control/checkpoint_scheduler.h"

namespace fescuedeck {
namespace {

constexpr const char *checkpointSecret = "routers";

struct signer
{
    std::string keyId;
    key_pair keys;
};

const signer &amina()
{
    static const signer instance{ "amina", generateKeyPair().value() };
    return instance;
}

const signer &brahim()
{
    static const signer instance{ "brahim", generateKeyPair().value() };
    return instance;
}

control_options testOptions()
{
    return { { { amina().keyId, amina().keys.publicKey } }, checkpointSecret };
}

struct proposal
{
    bundle_proposed proposed;
    bundle_signed signOff;
};

// Makes a bundle that is signed by the given signer and names brahim as the only approver of later
// bundles. The weight makes bundles of one version differ.
proposal makeProposal(std::int64_t version, std::int64_t parent, const signer &by,
                      double weight = 1)
{
    bundle content;
    content.version = version;
    content.parent = parent;
    content.approvers = { { brahim().keyId, brahim().keys.publicKey } };
    workspace_spec workspace;
    workspace.name = "tent";
    workspace.tokenHashes = { std::string(64, 'a') };
    workspace.weight = weight;
    workspace.queueLimit = 1;
    content.workspaces = { workspace };
    const std::string canonical = canonicalBundle(content);
    const std::string hash = bundleHash(canonical);
    return { { version, parent, hash, canonical },
             { version, hash, by.keyId, signHash(hash, by.keys.privateKey).value() } };
}

// A log whose oldest records can be dropped: those before index `first` cannot be read.
struct test_log
{
    std::vector<log_record> records;
    std::size_t first = 0;

    std::int64_t next() const { return static_cast<std::int64_t>(records.size()); }

    void append(const std::string &id, const std::string &body, unix_millis time)
    {
        records.push_back({ next(), id, time, body });
    }
    void append(const control_record &record, unix_millis time = unix_millis(0))
    {
        append("id" + std::to_string(next()), recordBody(record), time);
    }

    // Applies the log to the state in pages, as a router does.
    void replayInto(control_state &state, std::size_t pageSize) const
    {
        while (state.nextOffset() < next()) {
            const std::size_t from = std::max<std::size_t>(first, state.nextOffset());
            const std::size_t to = std::min(from + pageSize, records.size());
            applyPage(state, { records.begin() + from, records.begin() + to });
        }
    }
    control_state replay(std::size_t pageSize = 7) const
    {
        control_state state(testOptions());
        replayInto(state, pageSize);
        return state;
    }
};

// Generates random records: valid, duplicate, badly signed, corrupt and unknown ones.
class log_generator
{
public:
    explicit log_generator(std::uint64_t seed)
        : m_random(seededRandom(seed))
        , m_state(testOptions())
    {
    }

    test_log generate(int size)
    {
        for (int i = 0; i < size; ++i) {
            appendOne();
            m_state.apply(m_log.records.back());
            if (below(10) == 0)
                m_earlierCheckpointBody = m_state.checkpointBody();
        }
        return m_log;
    }

private:
    std::int64_t below(std::int64_t bound)
    {
        return static_cast<std::int64_t>(uniformBelow(m_random, bound));
    }

    static const std::vector<proposal> &pool()
    {
        static const std::vector<proposal> proposals = [] {
            std::vector<proposal> made;
            for (int version = 1; version <= 5; ++version) {
                for (const int step : { 1, 2 }) {
                    const int parent = std::max(0, version - step);
                    made.push_back(
                            makeProposal(version, parent, parent == 0 ? amina() : brahim(), step));
                    made.push_back(makeProposal(version, parent, amina(), 10 + step));
                }
            }
            return made;
        }();
        return proposals;
    }

    void appendOne()
    {
        m_time += unix_millis(below(400));
        const bool isCopy = !m_log.records.empty() && below(6) == 0;
        if (isCopy) {
            const log_record copied = m_log.records[below(m_log.next())];
            m_log.append(copied.id, copied.body, m_time);
            return;
        }
        std::string body = randomBody();
        if (below(8) == 0)
            body[below(static_cast<std::int64_t>(body.size()))] = static_cast<char>(below(256));
        m_log.append("id" + std::to_string(m_log.next()), body, m_time);
    }

    // Prefers a proposal whose parent is the bundle in force.
    const proposal &chooseProposal()
    {
        const auto size = static_cast<std::int64_t>(pool().size());
        const proposal *chosen = &pool()[below(size)];
        for (int i = 0; i < 3 && chosen->proposed.parent != m_state.acceptedVersion(); ++i)
            chosen = &pool()[below(size)];
        return *chosen;
    }

    std::string randomBody()
    {
        const proposal &chosen = chooseProposal();
        const std::string name = std::to_string(below(3));
        switch (below(20)) {
        case 0:
            return m_earlierCheckpointBody.empty() ? "[]" : m_earlierCheckpointBody;
        case 1:
            return R"({"type":"from_a_later_version","version":1})";
        case 2:
        case 3:
            return recordBody(request_quarantined{ name, 2 });
        case 4:
        case 5:
            return recordBody(host_drained{ name });
        case 6:
            return recordBody(host_undrained{ name });
        case 7:
        case 8:
        case 9: {
            const auto held = m_state.leaseOf(name);
            const std::int64_t newest = held ? held->offset : -1;
            return recordBody(lease_requested{ name, std::to_string(below(2)),
                                               below(3) == 0 ? below(20) - 1 : newest,
                                               unix_millis(500) });
        }
        default:
            if (below(2) == 0)
                return recordBody((m_lastProposed = chosen).proposed);
            return recordBody(below(3) == 0 ? chosen.signOff : m_lastProposed.signOff);
        }
    }

    random_fn m_random;
    test_log m_log;
    control_state m_state;
    unix_millis m_time{ 1'000'000 };
    std::string m_earlierCheckpointBody;
    proposal m_lastProposed = pool().front();
};

void requireState(const control_state &state, const std::string &expected)
{
    const std::string actual = state.checkpoint();
    if (actual != expected)
        FAIL(nlohmann::json::diff(nlohmann::json::parse(actual), nlohmann::json::parse(expected)));
}

} // namespace

// Guards against routers that get different states from the same stream. Each comment in the loop
// names a way in which that could happen.
TEST_CASE("replay of random control streams gives the same state on every router", "[control]")
{
    constexpr int sequences = 2000;
    constexpr int size = 40;
    int versions = 0;
    int adopted = 0;
    for (int seed = 1; seed <= sequences; ++seed) {
        CAPTURE(seed);
        const test_log log = log_generator(seed).generate(size);
        const random_fn random = seededRandom(seed);
        const control_state whole = log.replay();
        const std::string expected = whole.checkpoint();
        versions += static_cast<int>(whole.acceptedVersion());

        // The state must not depend on how the stream is split into pages.
        if (seed % 10 == 0)
            requireState(log.replay(1), expected);

        // A record that was appended twice must not take effect twice.
        test_log withoutCopies = log;
        std::set<std::string> ids;
        for (log_record &record : withoutCopies.records) {
            if (!ids.insert(record.id).second)
                record.body = "{}";
        }
        requireState(withoutCopies.replay(), expected);

        // A checkpoint must contain the whole state, and no bundle may be replaced by an older one.
        const auto cut = uniformBelow(random, size);
        control_state prefix(testOptions());
        for (const log_record &record : log.records) {
            if (record.offset == static_cast<std::int64_t>(cut))
                prefix = control_state::fromCheckpoint(prefix.checkpoint(), testOptions()).value();
            const std::int64_t version = prefix.acceptedVersion();
            prefix.apply(record);
            REQUIRE(prefix.acceptedVersion() >= version);
        }
        requireState(prefix, expected);

        // A router that starts after the log has dropped records must get the same state as one
        // that read all records.
        test_log truncated = log;
        truncated.first = cut;
        control_state late = truncated.replay(5);
        adopted += late.isComplete() ? static_cast<int>(late.counters().adoptedCheckpoints) : 0;
        if (late.isComplete())
            requireState(late, expected);
        REQUIRE(late.acceptedVersion() <= whole.acceptedVersion());
    }
    // Ensures that the generated sequences do accept bundles and adopt checkpoints.
    CHECK(versions > sequences);
    CHECK(adopted > sequences / 10);
}

// Guards against routers that accept different bundles when two operators propose successors of the
// same bundle at the same time.
TEST_CASE("of two competing bundles the one that is signed first comes into force", "[control]")
{
    test_log log;
    const proposal first = makeProposal(1, 0, amina());
    const proposal left = makeProposal(2, 1, brahim(), 2);
    const proposal right = makeProposal(2, 1, brahim(), 3);
    const proposal after = makeProposal(3, 2, brahim(), 4);
    for (const proposal &each : { first, left, right, after })
        log.append(each.proposed);
    log.append(after.signOff);
    log.append(first.signOff);
    log.append(right.signOff);
    log.append(left.signOff);
    const control_state state = log.replay();
    CHECK(state.acceptedHash() == right.signOff.hash);
    CHECK(state.acceptedOffset() == 6);
    const proposal_status loser = state.proposalStatus(2, left.signOff.hash);
    CHECK(loser.state == proposal_state::Superseded);
    CHECK(loser.rebaseOn == 2);
    CHECK(state.proposalStatus(1, first.signOff.hash).state == proposal_state::Accepted);
    CHECK(state.proposalStatus(3, after.signOff.hash).state == proposal_state::Pending);
    CHECK(state.proposalStatus(4, after.signOff.hash).state == proposal_state::Unknown);
}

// Guards against a bundle that somebody who can write to the log, but is no approver, brings into
// force.
TEST_CASE("a bundle without an approver's signature never comes into force", "[control]")
{
    test_log log;
    const proposal first = makeProposal(1, 0, amina());
    // It is signed by an approver that only the proposed bundle itself names.
    const proposal forged = makeProposal(1, 0, brahim(), 2);
    proposal wrongKeyId = makeProposal(1, 0, brahim(), 3);
    wrongKeyId.signOff.keyId = amina().keyId;
    proposal wrongSignature = makeProposal(1, 0, amina(), 4);
    wrongSignature.signOff.signature = first.signOff.signature;
    for (const proposal &each : { forged, wrongKeyId, wrongSignature }) {
        log.append(each.proposed);
        log.append(each.signOff);
    }
    const control_state state = log.replay();
    CHECK(state.acceptedVersion() == 0);
    CHECK(state.counters().invalidSignOffs == 3);
    CHECK_FALSE(state.proposalStatus(1, forged.signOff.hash).reason.empty());
    // The approver from the settings cannot sign any more once a bundle in force names others.
    const proposal next = makeProposal(2, 1, amina());
    log.append(first.proposed);
    log.append(first.signOff);
    log.append(next.proposed);
    log.append(next.signOff);
    CHECK(log.replay().acceptedVersion() == 1);
}

// Guards against a proposal with a valid hash but other content that prevents the bundle to which
// the hash belongs from coming into force.
TEST_CASE("a proposal whose content does not match its hash does not block the bundle", "[control]")
{
    test_log log;
    const proposal first = makeProposal(1, 0, amina());
    bundle_proposed mismatched = first.proposed;
    mismatched.content = makeProposal(1, 0, amina(), 9).proposed.content;
    log.append(mismatched);
    CHECK(log.replay().proposalStatus(1, mismatched.hash).state == proposal_state::Rejected);
    log.append(first.proposed);
    log.append(mismatched);
    log.append(first.signOff);
    CHECK(log.replay().acceptedVersion() == 1);
}

// Guards against two routers that hold the lease of a model at the same time or with the same
// fencing number, because both ask for it before they see the other's record.
TEST_CASE("a lease is taken over only after it has expired and only once", "[control]")
{
    test_log log;
    const unix_millis leaseDuration(1000);
    log.append(lease_requested{ "waiver", "r1", -1, leaseDuration }, unix_millis(100));
    log.append(lease_requested{ "waiver", "r2", -1, leaseDuration }, unix_millis(101));
    log.append(lease_requested{ "waiver", "r2", 0, leaseDuration }, unix_millis(1100));
    CHECK(log.replay().leaseOf("waiver")->holder == "r1");
    log.append(lease_requested{ "waiver", "r1", 0, leaseDuration }, unix_millis(1101));
    CHECK(log.replay().leaseOf("waiver")->offset == 3);
    log.append(lease_requested{ "waiver", "r3", 3, leaseDuration }, unix_millis(2102));
    log.append(lease_requested{ "waiver", "r2", 3, leaseDuration }, unix_millis(2102));
    log.append(lease_requested{ "waiver", "r1", 3, leaseDuration }, unix_millis(2103));
    const auto held = log.replay().leaseOf("waiver");
    CHECK(held->holder == "r3");
    CHECK(held->offset == 4);
    CHECK(held->expiry() == unix_millis(3102));
    CHECK(log.replay().counters().staleLeases == 4);
}

// Guards against a retried append whose duplicate arrives after a newer record and reverts it.
TEST_CASE("a duplicate of a drain record does not undo a later undrain", "[control]")
{
    test_log log;
    log.append("a", recordBody(host_drained{ "h1" }), unix_millis(0));
    CHECK(log.replay().isDrained("h1"));
    log.append("b", recordBody(host_undrained{ "h1" }), unix_millis(0));
    log.append("a", recordBody(host_drained{ "h1" }), unix_millis(0));
    CHECK_FALSE(log.replay().isDrained("h1"));
    CHECK(log.replay().counters().repeatedId == 1);
}

TEST_CASE("the number of quarantines is bounded and the oldest is evicted first", "[control]")
{
    test_log log;
    for (int i = 0; i <= 2000; ++i)
        log.append(request_quarantined{ "f" + std::to_string(i), 2 });
    const control_state state = log.replay(500);
    CHECK(state.quarantined().size() == 2000);
    CHECK_FALSE(state.isQuarantined("f0"));
    CHECK(state.isQuarantined("f2000"));
}

// Guards against a forged checkpoint, written by somebody who can write to the log but lacks the
// routers' key, that a router adopts after the log has dropped records.
TEST_CASE("a router that starts late adopts a checkpoint only if a router wrote it", "[control]")
{
    test_log log;
    log.append(host_drained{ "h1" });
    const std::string state = log.replay().checkpoint();
    log.append(checkpoint_taken{ state, 1, checkpointMac("another key", state) });
    log.first = 1;
    CHECK_FALSE(log.replay().isDrained("h1"));
    CHECK_FALSE(log.replay().isComplete());
    log.append(checkpoint_taken{ state, 1, checkpointMac(checkpointSecret, state) });
    control_state late = log.replay();
    CHECK(late.isDrained("h1"));
    // The log still has offset 1, where the checkpoint's state ends, so no record is missing.
    CHECK(late.isComplete());
    log.first = 2;
    late = log.replay();
    CHECK_FALSE(late.isComplete());
    late.skipMissingRecords(2);
    log.replayInto(late, 5);
    CHECK(late.isComplete());
    CHECK_FALSE(late.adopt(state));
}

// Guards against all routers appending a checkpoint at once when it becomes due.
TEST_CASE("a router appends a checkpoint after a delay only if none has come meanwhile",
          "[control]")
{
    test_log log;
    log.append(host_drained{ "h1" });
    control_state state = log.replay();
    const unix_millis wall(1'000'000);
    const checkpoint_schedule schedule{ unix_millis(10'000), std::chrono::seconds(1) };
    checkpoint_scheduler scheduler(schedule, seededRandom(1));
    checkpoint_scheduler other(schedule, seededRandom(2));
    const time_point start{};
    const time_point later = start + std::chrono::seconds(1);
    CHECK_FALSE(scheduler.poll(start, wall, state, true));
    CHECK_FALSE(other.poll(start, wall, state, true));
    CHECK_FALSE(scheduler.poll(later, wall, state, false));
    CHECK(scheduler.poll(later, wall, state, true));
    log.append("checkpoint", state.checkpointBody(), wall);
    log.replayInto(state, 10);
    CHECK_FALSE(other.poll(later, wall, state, true));
    const unix_millis halfRetention = wall + unix_millis(5001);
    CHECK_FALSE(other.poll(later, halfRetention, state, true));
    CHECK(other.poll(later + std::chrono::seconds(1), halfRetention, state, true));
}

} // namespace fescuedeck
