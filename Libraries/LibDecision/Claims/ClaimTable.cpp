#include <LibDecision/Claims/ClaimTable.h>

#include <algorithm>
#include <utility>

namespace Ibisturn {

namespace {

constexpr RunFailure outcomeUnknown { ResultCode::OutcomeUnknown, Ran::Unknown };
constexpr RunFailure answerNotStored { ResultCode::OutcomeUnknown, Ran::Yes };
constexpr RunFailure bodyMismatch { ResultCode::IdempotencyMismatch, Ran::No };
constexpr RunFailure overloaded { ResultCode::Overloaded, Ran::No };
constexpr RunFailure storeUnavailable { ResultCode::StoreUnavailable, Ran::No };

RefuseAttempt refuse(ClaimAttemptId attempt, RunFailure failure)
{
    return { attempt, failure.code, failure.ran };
}

void append(ClaimActions& actions, ClaimActions more)
{
    std::move(more.begin(), more.end(), std::back_inserter(actions));
}

const PresentClaim* findPresent(const std::vector<PresentClaim>& present, const ClaimId& id)
{
    const auto found = std::find_if(present.begin(), present.end(), [&id](const auto& claim) { return claim.id == id; });
    return found == present.end() ? nullptr : &*found;
}

} // namespace

ClaimTable::ClaimTable(ClaimOwner self, ClaimLimits limits)
    : self_(std::move(self))
    , limits_(limits)
    , rateLimiter_(limits)
    , issuedKeys_(self_, limits.maxIssuedKeysPerWorkspace)
{
}

ClaimActions ClaimTable::begin(TimePoint now, const ClaimAttempt& attempt)
{
    const auto found = entries_.find(attempt.id);
    if (found != entries_.end())
        return join(now, found->second, attempt);
    if (const auto issued = parseIssuedKey(attempt.id.key))
        return beginIssued(now, attempt, *issued);
    if (attempt.scope == ClaimScope::OwnClaimsOnly)
        return { refuse(attempt.attempt, outcomeUnknown) };
    if (pending_ >= limits_.maxPending || !evictToLimit())
        return { refuse(attempt.attempt, overloaded) };
    return claim(now, insert(attempt), attempt);
}

ClaimActions ClaimTable::beginIssued(TimePoint /*now*/, const ClaimAttempt& attempt, const IssuedKey& key)
{
    const bool isRemote = key.issuer.instance != self_.instance;
    if (isRemote && attempt.scope == ClaimScope::ClaimIfUnclaimed)
        return { ForwardToOwner { attempt.attempt, key.issuer } };
    if (key.issuer != self_)
        return { refuse(attempt.attempt, outcomeUnknown) };
    // Evict first, so that a refusal leaves the key unused.
    if (!evictToLimit())
        return { refuse(attempt.attempt, overloaded) };
    if (!issuedKeys_.redeem(attempt.id.workspace, key))
        return { refuse(attempt.attempt, outcomeUnknown) };
    auto& entry = insert(attempt);
    entry.isIssued = true;
    entry.isRecorded = true;
    entry.waiters.push_back(attempt.attempt);
    return grant(attempt.id, entry);
}

ClaimActions ClaimTable::join(TimePoint now, Entry& entry, const ClaimAttempt& attempt)
{
    if (entry.bodyDigest != attempt.bodyDigest)
        return { refuse(attempt.attempt, bodyMismatch) };
    switch (entry.state) {
    case State::Claiming:
    case State::Granted:
    case State::Running:
        return addWaiter(entry, attempt);
    case State::Finished:
        if (entry.answer)
            return { AnswerAttempt { attempt.attempt, *entry.answer } };
        return { refuse(attempt.attempt, answerNotStored) };
    case State::Unknown:
        return { refuse(attempt.attempt, outcomeUnknown) };
    case State::Abandoned:
        break;
    }
    if (!entry.isIssued)
        return claim(now, entry, attempt);
    entry.waiters.push_back(attempt.attempt);
    return grant(attempt.id, entry);
}

ClaimActions ClaimTable::addWaiter(Entry& entry, const ClaimAttempt& attempt) const
{
    // Another attempt with the same key may be running, so Ran::No would be wrong.
    if (entry.waiters.size() >= limits_.maxWaiters)
        return { refuse(attempt.attempt, outcomeUnknown) };
    entry.waiters.push_back(attempt.attempt);
    return {};
}

ClaimActions ClaimTable::claim(TimePoint now, Entry& entry, const ClaimAttempt& attempt)
{
    if (pending_ >= limits_.maxPending)
        return { refuse(attempt.attempt, overloaded) };
    entry.state = State::Claiming;
    entry.waiters.push_back(attempt.attempt);
    if (!entry.mayBeInStore && !entry.isInFlight)
        entry.firstWriteAt.reset();
    ++pending_;
    deadlines_.push_back({ now + limits_.claimTimeout, attempt.id });
    enqueue(attempt.id, entry);
    return flush(now);
}

ClaimTable::Entry& ClaimTable::insert(const ClaimAttempt& attempt)
{
    auto& entry = entries_[attempt.id];
    entry.number = ClaimNumber(++lastNumber_);
    entry.bodyDigest = attempt.bodyDigest;
    return entry;
}

bool ClaimTable::evictToLimit()
{
    while (entries_.size() >= limits_.maxClaims && !settled_.empty())
        evictOldest();
    return entries_.size() < limits_.maxClaims;
}

void ClaimTable::evictOldest()
{
    const auto found = entries_.find(settled_.front());
    settled_.pop_front();
    if (found == entries_.end())
        return;
    const auto state = found->second.state;
    if (state != State::Claiming && state != State::Granted && state != State::Running)
        entries_.erase(found);
}

bool ClaimTable::confirmDispatch(TimePoint now, const ClaimId& id)
{
    const auto found = entries_.find(id);
    if (found == entries_.end() || found->second.state != State::Granted)
        return false;
    // If this process was suspended, the record may have expired and another instance may have claimed the key.
    if (!isWithinDispatchWindow(now, found->second))
        return false;
    found->second.state = State::Running;
    return true;
}

bool ClaimTable::isWithinDispatchWindow(TimePoint now, const Entry& entry) const
{
    return entry.isIssued || (entry.firstWriteAt && now - *entry.firstWriteAt < limits_.dispatchWindow);
}

ClaimActions ClaimTable::finish(TimePoint now, const ClaimId& id, std::optional<StoredAnswer> answer)
{
    const auto found = entries_.find(id);
    if (found == entries_.end() || found->second.state != State::Running)
        return {};
    auto& entry = found->second;
    if (answer && answer->body.size() <= limits_.maxAnswerSize.count())
        entry.answer = std::move(answer);
    ClaimActions actions;
    for (const auto attempt : std::exchange(entry.waiters, {})) {
        if (entry.answer)
            actions.emplace_back(AnswerAttempt { attempt, *entry.answer });
        else
            actions.emplace_back(refuse(attempt, answerNotStored));
    }
    settle(id, entry, State::Finished);
    append(actions, flush(now));
    return actions;
}

ClaimActions ClaimTable::fail(TimePoint now, const ClaimId& id, RunFailure failure)
{
    const auto found = entries_.find(id);
    if (found == entries_.end())
        return {};
    auto& entry = found->second;
    if (entry.state != State::Running && entry.state != State::Granted)
        return {};
    if (failure.ran == Ran::No)
        return abandon(id, entry, failure);
    ClaimActions actions;
    for (const auto attempt : std::exchange(entry.waiters, {}))
        actions.emplace_back(refuse(attempt, outcomeUnknown));
    settle(id, entry, State::Unknown);
    append(actions, flush(now));
    return actions;
}

void ClaimTable::endClaiming(Entry& entry, State next)
{
    if (entry.state == State::Claiming)
        --pending_;
    entry.state = next;
}

void ClaimTable::settle(const ClaimId& id, Entry& entry, State state)
{
    endClaiming(entry, state);
    settled_.push_back(id);
    if (state != State::Abandoned && !entry.isRecorded)
        enqueue(id, entry);
}

ClaimActions ClaimTable::grant(const ClaimId& id, Entry& entry)
{
    endClaiming(entry, State::Granted);
    const auto first = entry.waiters.front();
    entry.waiters.erase(entry.waiters.begin());
    return { DispatchAttempt { first, id } };
}

ClaimActions ClaimTable::abandon(const ClaimId& id, Entry& entry, RunFailure failure)
{
    ClaimActions actions;
    for (const auto attempt : std::exchange(entry.waiters, {}))
        actions.emplace_back(refuse(attempt, failure));
    settle(id, entry, State::Abandoned);
    return actions;
}

ClaimActions ClaimTable::tick(TimePoint now)
{
    // A claim that was abandoned several times is listed as many times.
    while (settled_.size() > 2 * limits_.maxClaims)
        evictOldest();
    auto actions = abandonOverdue(now);
    append(actions, flush(now));
    return actions;
}

ClaimActions ClaimTable::abandonOverdue(TimePoint now)
{
    ClaimActions actions;
    while (!deadlines_.empty() && deadlines_.front().at <= now) {
        const auto found = entries_.find(deadlines_.front().id);
        deadlines_.pop_front();
        if (found == entries_.end() || found->second.state != State::Claiming)
            continue;
        append(actions, abandon(found->first, found->second, storeUnavailable));
    }
    return actions;
}

void ClaimTable::enqueue(const ClaimId& id, Entry& entry)
{
    if (entry.isQueued || entry.isInFlight)
        return;
    entry.isQueued = true;
    queue_.push_back(id);
}

ClaimActions ClaimTable::flush(TimePoint now)
{
    if (queue_.empty() || !rateLimiter_.tryBeginBatch(now))
        return {};
    WriteClaims action;
    while (!queue_.empty() && action.writes.size() < limits_.maxKeysPerBatch) {
        auto write = makeWrite(now, queue_.front());
        queue_.pop_front();
        if (write)
            action.writes.push_back(std::move(*write));
    }
    if (action.writes.empty()) {
        rateLimiter_.endBatch();
        return {};
    }
    action.batch = ClaimBatchId(++lastBatch_);
    batches_[action.batch] = action.writes;
    return { std::move(action) };
}

std::optional<ClaimWrite> ClaimTable::makeWrite(TimePoint now, const ClaimId& id)
{
    const auto found = entries_.find(id);
    if (found == entries_.end() || !found->second.isQueued)
        return std::nullopt;
    auto& entry = found->second;
    entry.isQueued = false;
    const bool isOutcome = entry.state == State::Finished || entry.state == State::Unknown;
    if (entry.state != State::Claiming && (!isOutcome || entry.isRecorded))
        return std::nullopt;
    entry.isInFlight = true;
    if (!entry.firstWriteAt)
        entry.firstWriteAt = now;
    ClaimRecord record { self_, entry.number, entry.bodyDigest, ClaimRecordState::Claimed, std::nullopt };
    if (isOutcome)
        record.state = entry.state == State::Finished ? ClaimRecordState::Finished : ClaimRecordState::Unknown;
    if (entry.state == State::Finished)
        record.answer = entry.answer;
    return ClaimWrite { id, std::move(record), entry.revision };
}

ClaimActions ClaimTable::onBatchReply(TimePoint now, ClaimBatchId batch, const BatchResult& result)
{
    const auto found = batches_.find(batch);
    if (found == batches_.end())
        return {};
    const auto writes = std::move(found->second);
    batches_.erase(found);
    rateLimiter_.endBatch();
    const bool isLost = std::holds_alternative<BatchReplyLost>(result);
    if (isLost || std::holds_alternative<BatchRefused>(result))
        rateLimiter_.backOff(now);
    ClaimActions actions;
    for (const auto& write : writes) {
        if (const auto* written = std::get_if<BatchWritten>(&result))
            append(actions, onWritten(now, write, written->revision));
        else if (const auto* conflicted = std::get_if<BatchConflicted>(&result))
            append(actions, onConflicted(now, write, findPresent(conflicted->present, write.id)));
        else
            append(actions, onFailed(write, isLost));
    }
    append(actions, flush(now));
    return actions;
}

ClaimTable::Entry* ClaimTable::find(const ClaimWrite& write)
{
    const auto found = entries_.find(write.id);
    // The claim may have been evicted meanwhile, and created again.
    if (found == entries_.end() || found->second.number != write.record.number)
        return nullptr;
    found->second.isInFlight = false;
    return &found->second;
}

ClaimActions ClaimTable::onWritten(TimePoint now, const ClaimWrite& write, Revision revision)
{
    auto* entry = find(write);
    if (!entry)
        return {};
    entry->revision = revision;
    entry->mayBeInStore = false;
    if (write.record.state != ClaimRecordState::Claimed)
        entry->isRecorded = true;
    if (entry->state != State::Claiming)
        return {};
    if (isWithinDispatchWindow(now, *entry))
        return grant(write.id, *entry);
    return abandon(write.id, *entry, storeUnavailable);
}

ClaimActions ClaimTable::onConflicted(TimePoint now, const ClaimWrite& write, const PresentClaim* present)
{
    auto* entry = find(write);
    if (!entry)
        return {};
    if (!present) {
        entry->revision = Revision(0);
        // An outcome whose record no longer exists is past its retention.
        entry->isRecorded = entry->state != State::Claiming;
        if (entry->state == State::Claiming)
            enqueue(write.id, *entry);
        return {};
    }
    const bool isOwn = present->record && present->record->owner == self_ && present->record->number == entry->number;
    if (isOwn)
        return onOwnRecord(now, write, *entry, *present);
    return onForeignRecord(write.id, *present);
}

ClaimActions ClaimTable::onOwnRecord(TimePoint now, const ClaimWrite& write, Entry& entry, const PresentClaim& present)
{
    const bool isUnchanged = present.revision == write.expected;
    entry.revision = present.revision;
    if (!isUnchanged)
        entry.mayBeInStore = false;
    if (entry.state == State::Finished || entry.state == State::Unknown) {
        entry.isRecorded = present.record->state != ClaimRecordState::Claimed;
        if (!entry.isRecorded)
            enqueue(write.id, entry);
        return {};
    }
    if (entry.state != State::Claiming)
        return {};
    if (!isUnchanged && isWithinDispatchWindow(now, entry))
        return grant(write.id, entry);
    // Another key of the batch conflicted, or the dispatch window has passed: write the record again.
    if (!isUnchanged)
        entry.firstWriteAt.reset();
    enqueue(write.id, entry);
    return {};
}

ClaimActions ClaimTable::onForeignRecord(const ClaimId& id, const PresentClaim& present)
{
    const auto found = entries_.find(id);
    auto& entry = found->second;
    if (entry.state != State::Claiming) {
        entry.isRecorded = true;
        return {};
    }
    ClaimActions actions;
    for (const auto attempt : entry.waiters)
        actions.push_back(resolveForeign(attempt, entry.bodyDigest, present));
    --pending_;
    entries_.erase(found);
    return actions;
}

ClaimAction ClaimTable::resolveForeign(ClaimAttemptId attempt, const std::string& bodyDigest, const PresentClaim& present) const
{
    if (!present.record)
        return refuse(attempt, outcomeUnknown);
    const auto& record = *present.record;
    if (record.bodyDigest != bodyDigest)
        return refuse(attempt, bodyMismatch);
    if (record.state == ClaimRecordState::Finished && record.answer)
        return AnswerAttempt { attempt, *record.answer };
    if (record.state == ClaimRecordState::Finished)
        return refuse(attempt, answerNotStored);
    // An earlier incarnation of this instance can't be queried, and neither can a claim that this one has evicted.
    if (record.state == ClaimRecordState::Unknown || record.owner.instance == self_.instance)
        return refuse(attempt, outcomeUnknown);
    return ForwardToOwner { attempt, record.owner };
}

ClaimActions ClaimTable::onFailed(const ClaimWrite& write, bool mayBeInStore)
{
    auto* entry = find(write);
    if (!entry)
        return {};
    entry->mayBeInStore = entry->mayBeInStore || mayBeInStore;
    const bool isOutcome = entry->state == State::Finished || entry->state == State::Unknown;
    if (entry->state == State::Claiming || (isOutcome && !entry->isRecorded))
        enqueue(write.id, *entry);
    return {};
}

} // namespace Ibisturn
