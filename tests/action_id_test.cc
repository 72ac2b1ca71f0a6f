#include "foxtailspread/action_id.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <limits>

#include "net/glib_mac.h"

namespace foxtailspread {
namespace {

action_secret Secret() { return {"a key for tests", GlibMac}; }
action_origin Origin() { return {"vlahovic", "crews@trnje", 41, 7}; }

std::string Mint(const action_origin& origin) {
  return MintActionId(origin, Secret()).value();
}

TEST(ActionIdTest, HmacMatchesRfc4231Example) {
  // RFC 4231, test case 2.
  const mac_digest digest = GlibMac("Jefe", "what do ya want for nothing?");
  EXPECT_EQ(digest[0], 0x5b);
  EXPECT_EQ(digest[1], 0xdc);
  EXPECT_EQ(digest[31], 0x43);
}

RC_GTEST_PROP(ActionIdTest, MintedIdentifierParsesForItsOrganisation,
              (uint64_t epoch, uint64_t sequence)) {
  const size_t length = *rc::gen::inRange<size_t>(1, kMaxActionRangeLength + 1);
  const minted_action expected{std::string(length, 'r'), epoch, sequence};
  const std::string text =
      Mint({"prairie", expected.range, expected.epoch, expected.sequence});
  RC_ASSERT(text.size() <= kMaxActionIdLength);
  RC_ASSERT(text.find_first_not_of(
                "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
                "0123456789-_.") == std::string::npos);
  const result<action_id> parsed = ParseActionId(text, "prairie", Secret());
  RC_ASSERT(parsed.has_value());
  RC_ASSERT(parsed.value().minted == expected);
}

TEST(ActionIdTest, LargestNumbersAndLongestRangeFitMaxLength) {
  constexpr uint64_t kMax = std::numeric_limits<uint64_t>::max();
  const std::string range(kMaxActionRangeLength, 'z');
  EXPECT_EQ(Mint({"o", range, kMax, kMax}).size(), kMaxActionIdLength);
}

TEST(ActionIdTest, TooLongRangeIsTooLarge) {
  const std::string range(kMaxActionRangeLength + 1, 'z');
  const result<std::string> minted = MintActionId({"o", range, 1, 1}, Secret());
  ASSERT_FALSE(minted);
  EXPECT_EQ(minted.error().code, error_code::kTooLarge);
}

// A caller that sends an identifier of another organisation, seen in a log for
// instance, must not learn whether that action exists: the error is the same as
// for an invented identifier.
TEST(ActionIdTest, OtherOrganisationsIdentifierGivesSameErrorAsInventedOne) {
  const result<action_id> foreign =
      ParseActionId(Mint(Origin()), "prairie", Secret());
  const result<action_id> invented = ParseActionId(
      "fa1.AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA", "prairie", Secret());
  ASSERT_FALSE(foreign);
  ASSERT_FALSE(invented);
  EXPECT_EQ(foreign.error().code, error_code::kForbidden);
  EXPECT_EQ(foreign.error().Message(), invented.error().Message());
}

// If a changed identifier were accepted, it could contain another epoch, and a
// steward would take an old action for one that never began and run it again.
TEST(ActionIdTest, AnyChangedCharacterIsRefused) {
  const std::string text = Mint(Origin());
  for (size_t i = kMintedActionPrefix.size(); i < text.size(); ++i) {
    std::string changed = text;
    changed[i] = changed[i] == 'A' ? 'B' : 'A';
    EXPECT_FALSE(ParseActionId(changed, "vlahovic", Secret())) << i;
  }
}

TEST(ActionIdTest, CallerMadeIdentifierIsAcceptedAsNotMinted) {
  const result<action_id> parsed =
      ParseActionId("order-2024.17_b", "prairie", Secret());
  ASSERT_TRUE(parsed);
  EXPECT_FALSE(parsed.value().minted);
}

TEST(ActionIdTest, InvalidCallerMadeIdentifierIsMalformed) {
  for (const std::string& text :
       {std::string("short"), std::string(65, 'a'), std::string("has space"),
        std::string("sla/sh/es"), std::string()}) {
    const result<action_id> parsed = ParseActionId(text, "prairie", Secret());
    ASSERT_FALSE(parsed) << text;
    EXPECT_EQ(parsed.error().code, error_code::kMalformed);
  }
}

}  // namespace
}  // namespace foxtailspread
