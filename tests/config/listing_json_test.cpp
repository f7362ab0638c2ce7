// Listings as JSON.
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

TEST(ListingJson, AnErrorSaysWhetherTheTextIsJson) {
  const ListingResult no_json = ParseListing("nonsense");
  ASSERT_TRUE(std::holds_alternative<ListingError>(no_json));
  EXPECT_EQ(std::get<ListingError>(no_json).kind, ListingError::Kind::kNotJson);
  EXPECT_EQ(ToText(std::get<ListingError>(no_json)), "no list of servers: not JSON");
  const ListingResult wrong_form = ParseListing("{}");
  ASSERT_TRUE(std::holds_alternative<ListingError>(wrong_form));
  EXPECT_EQ(std::get<ListingError>(wrong_form).kind, ListingError::Kind::kWrongForm);
  EXPECT_EQ(ToText(std::get<ListingError>(wrong_form)),
            "no list of servers: [json.exception.out_of_range.403] key 'revision' not found");
}

}  // namespace
}  // namespace tulipyoke
