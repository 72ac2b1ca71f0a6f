#include "foxtailspread/load/held_memory.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "foxtailspread/load/body_room.h"

namespace foxtailspread {
namespace {

TEST(HeldMemoryTest, BytesOfAllKindsTakeFromOneBound) {
  held_memory memory(100);
  memory_charge request(&memory, held_kind::kRequests, 40);
  memory_charge answer(&memory, held_kind::kAnswers, 30);
  EXPECT_TRUE(memory.HasRoom(30));
  EXPECT_FALSE(memory.HasRoom(31));
  EXPECT_FALSE(memory.IsExceeded());
  answer.Set(61);
  EXPECT_TRUE(memory.IsExceeded());
  EXPECT_FALSE(memory.HasRoom(0));
  EXPECT_EQ(memory.bytes(held_kind::kRequests), 40U);
  EXPECT_EQ(memory.bytes(held_kind::kAnswers), 61U);
}

// Guards against bytes that stay counted after their holder, until everybody is
// refused.
TEST(HeldMemoryTest, HolderThatEndsGivesItsBytesBack) {
  held_memory memory(100);
  {
    memory_charge request(&memory, held_kind::kRequests, 40);
    request.Set(10);
    EXPECT_EQ(memory.total(), 10U);
  }
  EXPECT_EQ(memory.total(), 0U);
}

// Guards against a log that tells of the same shortage with each request.
TEST(HeldMemoryTest, ShortageEndsWhenHalfOfTheMemoryIsFree) {
  held_memory memory(100);
  memory_charge request(&memory, held_kind::kRequests, 90);
  EXPECT_FALSE(memory.is_short());
  memory.OnRefused();
  request.Set(60);
  EXPECT_TRUE(memory.is_short());
  request.Set(50);
  EXPECT_FALSE(memory.is_short());
  EXPECT_EQ(memory.refused(), 1U);
}

// Guards against many large bodies that meet at one target: 71 hosts, each of
// which sends all that it has to the target that looks idle.
TEST(BodyRoomTest, HostsTogetherSendOneTargetAFewLargeBodies) {
  constexpr size_t kBody = 360'000;
  constexpr int kSlots = 4;
  for (const size_t hosts : {9U, 71U, 300U}) {
    body_room room;
    size_t sent = 0;
    while (room.HasRoom(kBody, kSlots, hosts) && sent < 100) {
      room.OnSent(kBody);
      ++sent;
    }
    const size_t all = kSlots * body_room::kBytesPerSlot;
    EXPECT_EQ(sent, std::max<size_t>(1, all / hosts / kBody)) << hosts;
  }
}

TEST(BodyRoomTest, SmallBodiesAreNeverHeldBack) {
  body_room room;
  room.OnSent(5'000'000);
  EXPECT_TRUE(room.HasRoom(0, 4, 300));
  EXPECT_TRUE(room.HasRoom(body_room::kSmallBody, 4, 300));
  EXPECT_FALSE(room.HasRoom(body_room::kSmallBody + 1, 4, 300));
  room.OnEnded(5'000'000);
  EXPECT_TRUE(room.HasRoom(5'000'000, 4, 300));
}

}  // namespace
}  // namespace foxtailspread
