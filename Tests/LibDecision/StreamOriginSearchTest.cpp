#include <LibDecision/Streams/StreamOriginSearch.h>

#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

using namespace std::chrono_literals;

const ServiceId model("model");
const ServiceId other("other");
const SoftwareVersion first("1");
const SoftwareVersion second("2");
constexpr TimePoint arrival(1h);

StreamResumption resumption(StreamName name, std::vector<ServiceId> services = { model }, Duration timeLeft = 12s)
{
    return { name, std::move(services), model, arrival, arrival + timeLeft };
}

std::optional<SoftwareVersion> nothingProved(const ServiceId& /*service*/)
{
    return std::nullopt;
}

StreamOriginSearch::OnlyVersion proved(ServiceId service, SoftwareVersion version)
{
    return [service = std::move(service), version = std::move(version)](const ServiceId& asked) { return asked == service ? std::optional(version) : std::nullopt; };
}

/// The origin and evidence that the search found, if it did.
std::optional<std::pair<StreamOrigin, StreamEvidence>> foundIn(const StreamOriginSearch::Step& step)
{
    const auto* found = std::get_if<StreamOriginSearch::Found>(&step);
    return found ? std::optional(std::pair(found->origin, found->evidence)) : std::nullopt;
}

bool isRefused(const StreamOriginSearch::Step& step) { return std::holds_alternative<StreamOriginSearch::Refuse>(step); }
bool mustWait(const StreamOriginSearch::Step& step) { return std::holds_alternative<StreamOriginSearch::Wait>(step); }

} // namespace

// The ledger may list the version of a service to which the stream was not sent.
TEST(StreamOriginSearch, ANoteWinsOverTheLedger)
{
    const StreamOriginSearch search(resumption(StreamName::Named));
    const auto found = foundIn(search.look(arrival, StreamOrigin { model, first }, proved(model, second)));
    EXPECT_EQ(found, std::pair(StreamOrigin({ model, first }), StreamEvidence::Note));
}

TEST(StreamOriginSearch, WithoutANoteTheOnlyVersionBeganTheStream)
{
    for (const auto name : { StreamName::Named, StreamName::Unnamed }) {
        const StreamOriginSearch search(resumption(name));
        EXPECT_TRUE(mustWait(search.look(arrival, std::nullopt, nothingProved)));
        const auto found = foundIn(search.look(arrival + 100ms, std::nullopt, proved(model, second)));
        EXPECT_EQ(found, std::pair(StreamOrigin({ model, second }), StreamEvidence::Ledger));
    }
}

// Without evidence, a stream would go on at any version.
TEST(StreamOriginSearch, IsRefusedWithoutEvidenceAfterASecond)
{
    const StreamOriginSearch search(resumption(StreamName::Named));
    EXPECT_TRUE(mustWait(search.look(arrival + 999ms, std::nullopt, nothingProved)));
    EXPECT_TRUE(isRefused(search.look(arrival + 1s, std::nullopt, nothingProved)));
    // Evidence that arrives at the last moment counts.
    EXPECT_TRUE(foundIn(search.look(arrival + 1s, StreamOrigin { model, first }, nothingProved)));
}

// A caller with little time left must still be able to retry elsewhere.
TEST(StreamOriginSearch, LeavesMostOfTheTimeToTheRequest)
{
    const StreamOriginSearch search(resumption(StreamName::Named, { model }, 400ms));
    EXPECT_TRUE(mustWait(search.look(arrival + 99ms, std::nullopt, nothingProved)));
    EXPECT_TRUE(isRefused(search.look(arrival + 100ms, std::nullopt, nothingProved)));
    const StreamOriginSearch late(resumption(StreamName::Named, { model }, -1s));
    EXPECT_TRUE(isRefused(late.look(arrival, std::nullopt, nothingProved)));
}

// After a change of the shares, the request could go to a service that did not begin the stream.
TEST(StreamOriginSearch, GoesToTheServiceThatBeganTheStream)
{
    const StreamOriginSearch search(resumption(StreamName::Named, { model, other }));
    const auto found = foundIn(search.look(arrival, StreamOrigin { other, second }, proved(model, first)));
    EXPECT_EQ(found, std::pair(StreamOrigin({ other, second }), StreamEvidence::Note));
}

// The versions of another service say nothing of the stream.
TEST(StreamOriginSearch, IsRefusedAtOnceIfTheRouteNoLongerHasTheService)
{
    const StreamOriginSearch search(resumption(StreamName::Named));
    EXPECT_TRUE(isRefused(search.look(arrival, StreamOrigin { other, second }, proved(model, first))));
    EXPECT_TRUE(isRefused(search.look(arrival, StreamOrigin { model, SoftwareVersion() }, proved(model, first))));
}

// Any of the services may have begun a stream that the caller does not name, and each has its own versions.
TEST(StreamOriginSearch, AnUnnamedStreamOfARouteWithSeveralServicesIsRefusedAtOnce)
{
    const StreamOriginSearch search(resumption(StreamName::Unnamed, { model, other }));
    EXPECT_TRUE(isRefused(search.look(arrival, std::nullopt, proved(model, first))));
}

} // namespace Ibisturn::Testing
