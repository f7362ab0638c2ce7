// Tests the parsing of listings in JSON.
#include "src/config/listing_json.hpp"

#include <gtest/gtest.h>

#include <stdexcept>
#include <variant>

namespace tulipyoke {
namespace {

TEST(ListingJson, AnInvalidListingIsRejected) {
  EXPECT_THROW(ParseListingOrThrow("nonsense"), std::runtime_error);
  EXPECT_THROW(ParseListingOrThrow(R"({"revision":"x"})"), std::runtime_error);
  const EndpointList listing =
      ParseListingOrThrow(R"({"revision":43,"complete":false,"members":[{"id":"s","phase":"terminated"}]})");
  EXPECT_FALSE(listing.complete);
  EXPECT_EQ(listing.servers[0].state, ServerState::kGone);
}

TEST(ListingJson, AnErrorTellsInvalidJsonFromAnInvalidStructure) {
  const ListingResult not_json = ParseListing("nonsense");
  ASSERT_TRUE(std::holds_alternative<ListingError>(not_json));
  EXPECT_EQ(std::get<ListingError>(not_json).kind, ListingError::Kind::kNotJson);
  EXPECT_EQ(ToText(std::get<ListingError>(not_json)), "invalid server list: not valid JSON");
  const ListingResult invalid_structure = ParseListing("{}");
  ASSERT_TRUE(std::holds_alternative<ListingError>(invalid_structure));
  EXPECT_EQ(std::get<ListingError>(invalid_structure).kind, ListingError::Kind::kInvalidStructure);
  EXPECT_EQ(ToText(std::get<ListingError>(invalid_structure)),
            "invalid server list: [json.exception.out_of_range.403] key 'revision' not found");
}

}  // namespace
}  // namespace tulipyoke
