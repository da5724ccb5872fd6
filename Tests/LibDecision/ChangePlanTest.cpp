#include <LibConfiguration/RecordCheck.h>
#include <LibConfiguration/RecordHead.h>
#include <LibDecision/Configuration/ChangePlan.h>

#include <cstdlib>
#include <map>
#include <random>

#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

constexpr std::size_t schedules = 10000;
const std::string prefix = "/i/";
const std::string digest(64, 'a');

std::uint64_t seed()
{
    const auto* text = std::getenv("IBISTURN_SEED"); // NOLINT: one thread
    return text ? std::strtoull(text, nullptr, 10) : 20261204;
}

/// A store with compare-and-swap that counts how often each change was written.
class FakeStore {
public:
    std::vector<StoredEntry> read(const std::string& folder) const
    {
        std::vector<StoredEntry> found;
        for (const auto& [key, text] : entries_) {
            if (key.starts_with(prefix + folder))
                found.push_back(text);
        }
        return found;
    }

    bool transact(const ChangeReady& change, const std::string& id)
    {
        for (const auto& write : change.writes) {
            const auto found = entries_.find(write.key);
            if ((found == entries_.end() ? Revision(0) : found->second.revision) != write.expected)
                return false;
        }
        revision_ = revision_.next();
        for (const auto& write : change.writes) {
            if (write.value)
                entries_[write.key] = { write.key, *write.value, revision_ };
            else
                entries_.erase(write.key);
        }
        ++written_[id];
        return true;
    }

    Revision revisionOf(const std::string& key) const
    {
        const auto found = entries_.find(key);
        return found == entries_.end() ? Revision(0) : found->second.revision;
    }

    std::size_t timesWritten(const std::string& id) const
    {
        const auto found = written_.find(id);
        return found == written_.end() ? 0 : found->second;
    }

private:
    Revision revision_ { 1 };
    std::map<std::string, StoredEntry> entries_;
    std::map<std::string, std::size_t> written_;
};

std::vector<StoredEntry> readAll(const FakeStore& store)
{
    auto all = store.read("records/");
    const auto histories = store.read("history/");
    all.insert(all.end(), histories.begin(), histories.end());
    return all;
}

ChangePlan plan(const FakeStore& store, const ChangeRequest& request)
{
    return planChange(prefix, readAll(store), request);
}

ResultCode apply(FakeStore& store, const std::string& id, const RecordName& name, const std::optional<std::string>& json)
{
    const ChangeRequest request { id, "ann", "2026-12-04T06:00:00Z", { { name, json, store.revisionOf(recordKey(prefix, name)) } } };
    const auto planned = plan(store, request);
    if (const auto* refused = std::get_if<ChangeRefused>(&planned))
        return refused->code;
    if (const auto* ready = std::get_if<ChangeReady>(&planned)) {
        EXPECT_TRUE(store.transact(*ready, id));
    }
    return ResultCode::Ok;
}

const RecordName rule { "residency", "home" };
const RecordName workspace { "workspaces", "guides" };
const RecordName key { "keys", digest };
const std::string ruleJson = R"({"schema":1,"regions":["khomas"]})";
const std::string workspaceJson = R"({"schema":1,"residency":"home","rate":1,"burst":1})";
const std::string keyJson = R"({"schema":1,"workspace":"guides"})";

/// An operator's change in progress: it reads, plans and writes until the outcome is known.
struct Operator {
    ChangeRequest request;
    int step { 0 };
    std::vector<StoredEntry> entries;
    std::optional<ChangeReady> delayedWrite;
    std::optional<ChangePlan> outcome;
};

void advance(Operator& self, FakeStore& store, std::mt19937_64& random)
{
    // A write whose reply was lost may still arrive late.
    if (self.delayedWrite && random() % 3 == 0) {
        store.transact(*self.delayedWrite, self.request.id);
        self.delayedWrite.reset();
    }
    if (self.outcome)
        return;
    if (self.step == 0) {
        self.entries = store.read("records/");
        self.step = 1;
        return;
    }
    self.step = 0;
    const auto histories = store.read("history/");
    self.entries.insert(self.entries.end(), histories.begin(), histories.end());
    auto planned = planChange(prefix, self.entries, self.request);
    const auto* ready = std::get_if<ChangeReady>(&planned);
    if (!ready) {
        self.outcome = planned;
        return;
    }
    const auto writeOutcome = random() % 4;
    if (writeOutcome == 0)
        self.delayedWrite = *ready;
    else if (store.transact(*ready, self.request.id) && writeOutcome != 1)
        self.outcome = ChangeApplied {};
}

} // namespace

TEST(ChangePlan, SetIsCheckedAndErrorNamesRecordAndField)
{
    FakeStore store;
    const ChangeRequest request { "1", "ann", "now", { { workspace, workspaceJson, Revision(0) } } };
    const auto planned = plan(store, request);
    ASSERT_TRUE(std::holds_alternative<ChangeRefused>(planned));
    EXPECT_EQ(std::get<ChangeRefused>(planned).reason, "workspaces/guides: residency names residency/home, which does not exist");
    EXPECT_EQ(apply(store, "2", rule, ruleJson), ResultCode::Ok);
    EXPECT_EQ(apply(store, "3", workspace, workspaceJson), ResultCode::Ok);
    EXPECT_EQ(apply(store, "4", key, keyJson), ResultCode::Ok);
    EXPECT_EQ(apply(store, "5", rule, std::nullopt), ResultCode::RecordInvalid);
    EXPECT_EQ(apply(store, "6", workspace, std::nullopt), ResultCode::RecordInvalid);
    EXPECT_EQ(apply(store, "7", { "routes", "bookings" }, R"({"schema":1,"path":"/b","kind":"service"})"), ResultCode::Ok);
    const auto server = R"({"schema":1,"kind":"engine","endpoint":"127.0.0.1:1","region":"khomas","data_centre":"k-1","routes":["bookings"]})";
    EXPECT_EQ(apply(store, "8", { "backend_servers", "e" }, server), ResultCode::RecordInvalid);
    EXPECT_EQ(apply(store, "9", workspace, R"({"schema":2,"residency":"home"})"), ResultCode::RecordInvalid);
}

TEST(ChangePlan, HistoryOutlivesTheRecordAndIsBounded)
{
    FakeStore store;
    apply(store, "0", rule, ruleJson);
    for (int index = 0; index < 20; ++index)
        apply(store, std::to_string(index), rule, index % 2 == 0 ? std::nullopt : std::optional(ruleJson));
    const auto texts = store.read("history/");
    ASSERT_EQ(texts.size(), 1U);
    const auto history = parseHistory(texts.front().value);
    EXPECT_EQ(history.size(), 8U);
    EXPECT_EQ(history.front().id, "19");
    EXPECT_EQ(history.front().who, "ann");
}

TEST(ChangePlan, LoserOfARaceSeesTheWinnersValue)
{
    FakeStore store;
    apply(store, "1", rule, ruleJson);
    const ChangeRequest late { "2", "ben", "now", { { rule, R"({"schema":1,"regions":["erongo"]})", Revision(0) } } };
    const auto planned = plan(store, late);
    ASSERT_TRUE(std::holds_alternative<ChangeRefused>(planned));
    const auto& refused = std::get<ChangeRefused>(planned);
    EXPECT_EQ(refused.code, ResultCode::RevisionConflict);
    ASSERT_EQ(refused.current.size(), 1U);
    EXPECT_EQ(refused.current.front().value, ruleJson);
}

TEST(ChangePlan, RacingOperatorsWithLostRepliesWriteOnceAndKeepTheSetValid)
{
    fmt::print("seed {}\n", seed());
    for (std::size_t index = 0; index < schedules; ++index) {
        std::mt19937_64 random(seed() + index);
        FakeStore store;
        apply(store, "rule", rule, ruleJson);
        if (random() % 2 == 0)
            apply(store, "workspace", workspace, workspaceJson);
        const std::vector<std::pair<RecordName, std::optional<std::string>>> edits { { rule, std::nullopt }, { rule, ruleJson },
            { workspace, workspaceJson }, { workspace, std::nullopt }, { key, keyJson }, { key, std::nullopt } };
        std::vector<Operator> operators(2 + random() % 3);
        for (std::size_t number = 0; number < operators.size(); ++number) {
            const auto& [name, json] = edits[random() % edits.size()];
            operators[number].request = { fmt::format("op{}", number), "ann", "now", { { name, json, store.revisionOf(recordKey(prefix, name)) } } };
        }
        for (int step = 0; step < 60; ++step)
            advance(operators[random() % operators.size()], store, random);
        for (const auto& one : operators) {
            const auto times = store.timesWritten(one.request.id);
            ASSERT_LE(times, 1U) << "seed " << seed() + index;
            if (one.outcome) {
                ASSERT_EQ(times, std::holds_alternative<ChangeApplied>(*one.outcome) ? 1U : 0U) << "seed " << seed() + index;
            }
        }
        std::vector<Record> records;
        for (const auto& text : store.read("records/")) {
            if (const auto name = parseRecordKey(prefix, text.key))
                records.push_back(parseRecord(name->kind, name->name, text.value, text.revision));
        }
        ASSERT_TRUE(checkRecords(records).empty()) << "seed " << seed() + index;
    }
}

} // namespace Ibisturn::Testing
