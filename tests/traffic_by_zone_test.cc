#include "foxtailspread/traffic_by_zone.h"

#include <gtest/gtest.h>

#include "foxtailspread/host_messages.h"

namespace foxtailspread {
namespace {

TEST(TrafficByZoneTest, MessagesAndBytesAreSummedByCauseKindAndZone) {
  traffic_by_zone traffic;
  traffic.Count("answer", "checkout", PeerZoneOf("b", "a"), 100);
  traffic.Count("answer", "checkout", PeerZoneOf("b", "a"), 50);
  traffic.Count("answer", "checkout", PeerZoneOf("a", "a"), 7);
  const std::string text = traffic.Text();
  EXPECT_NE(text.find(R"(kind="checkout",zone="other"} 150)"),
            std::string::npos)
      << text;
  EXPECT_NE(text.find(R"(kind="checkout",zone="other"} 2)"), std::string::npos)
      << text;
  EXPECT_NE(text.find(R"(kind="checkout",zone="own"} 7)"), std::string::npos)
      << text;
}

TEST(TrafficByZoneTest, UnknownZoneIsNotTakenForAnother) {
  EXPECT_EQ(PeerZoneOf("", "a"), peer_zone::kUnknown);
}

TEST(HostMessageKindTest, KindIsThatOfTheMessage) {
  EXPECT_EQ(HostMessageKind(FormatHostMessage(load_report{})), "load");
  EXPECT_EQ(HostMessageKind(FormatHostMessage(assigner_heartbeat{})),
            "heartbeat");
  EXPECT_EQ(HostMessageKind(FormatHostMessage(permit_request{})),
            "permit-request");
}

// Guards against datagrams of other senders.
TEST(HostMessageKindTest, OtherBytesHaveNoKind) {
  EXPECT_EQ(HostMessageKind(""), "");
  EXPECT_EQ(HostMessageKind("\x9f"), "");
  EXPECT_EQ(HostMessageKind("\x9f\xbf"), "");
  EXPECT_EQ(HostMessageKind("GET / HTTP/1.1"), "");
}

}  // namespace
}  // namespace foxtailspread
