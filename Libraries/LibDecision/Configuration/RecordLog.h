#pragma once

#include <LibConfiguration/RecordSet.h>
#include <LibDecision/Configuration/ConfigurationMessages.h>

#include <deque>

namespace Ibisturn {

enum class Adoption : std::uint8_t {
    /// The records advanced to a later revision.
    Adopted,
    /// The update contains nothing new.
    Known,
    /// Changes between the current revision and the update are missing.
    Gap,
};

/// All records at one revision, which never decreases, and a bounded log of the latest changes.
/// Thread safety: one thread at a time.
class RecordLog {
public:
    /// `prefix` is the deployment's key prefix in the store; `maxChanges` limits the log.
    RecordLog(std::string prefix, std::size_t maxChanges);

    /// Advances to the update's revision if it is later and no changes are missing.
    Adoption adopt(const ConfigurationUpdate& update);

    /// Builds the update from `from` to the current revision; a full update if the changes are no longer in the log.
    ConfigurationUpdate updateFrom(Revision from) const;

    /// Whether the changes after `from` are still in the log.
    bool hasChangesAfter(Revision from) const;

    /// The revision of the records, or noRevision.
    Revision revision() const { return revision_; }

    /// The records as JSON texts.
    const RecordSet& records() const { return records_; }

    /// The size of the records and of the change log in bytes.
    ByteCount size() const;

private:
    void adoptFull(const ConfigurationUpdate& update);
    void adoptDelta(const ConfigurationUpdate& update);
    void trimChanges();

    RecordSet records_;
    Revision revision_ { noRevision };
    std::size_t maxChanges_;
    /// changes_ contains all changes after this revision.
    Revision logStart_ { noRevision };
    std::deque<RecordChange> changes_;
};

} // namespace Ibisturn
