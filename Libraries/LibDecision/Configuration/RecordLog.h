#pragma once

#include <LibConfiguration/RecordSet.h>
#include <LibDecision/Configuration/ConfigurationMessages.h>

#include <deque>

namespace Ibisturn {

enum class Adoption : std::uint8_t {
    /// The records moved to a later revision.
    Adopted,
    /// The update brings nothing that is not known.
    Known,
    /// Changes between the known revision and the update are missing.
    Gap,
};

/// All records at one revision, which only moves upwards, and the last changes that led there.
/// Thread safety: one thread at a time.
class RecordLog {
public:
    /// `prefix` is the store's prefix of the deployment; `mostChanges` bounds the changes that are kept.
    RecordLog(std::string prefix, std::size_t mostChanges);

    /// Moves to the update's revision if that is later and nothing is missing.
    Adoption adopt(const ConfigurationUpdate& update);

    /// What takes a peer at `from` to the present revision; a full update if the changes are no longer known.
    ConfigurationUpdate updateFrom(Revision from) const;

    /// Whether the changes after `from` are still known.
    bool knowsChangesAfter(Revision from) const;

    /// The revision of the records, or noRevision.
    Revision revision() const { return revision_; }

    /// The records as texts.
    const RecordSet& records() const { return records_; }

    /// The bytes of the records and of the kept changes.
    ByteCount size() const;

private:
    void adoptFull(const ConfigurationUpdate& update);
    void adoptDelta(const ConfigurationUpdate& update);
    void forgetOldChanges();

    RecordSet records_;
    Revision revision_ { noRevision };
    std::size_t mostChanges_;
    /// Changes after this revision are in changes_.
    Revision logStart_ { noRevision };
    std::deque<RecordChange> changes_;
};

} // namespace Ibisturn
