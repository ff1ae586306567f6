#include "chivecrank/runtime/shard_room.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace chivecrank::runtime {
namespace {

constexpr std::uint64_t kDraws = 1000;

/// Ten workers of 16 cores, each with so many cores free.
shard_room RoomWith(std::size_t free_cores) {
  shard_room room;
  room.capacity_milli = 160'000;
  room.free_milli = static_cast<std::int64_t>(free_cores) * 10'000;
  room.workers_by_free_cores.resize(17);
  room.workers_by_free_cores[free_cores] = 10;
  return room;
}

submissions::submission Urgent(std::int32_t tasks, std::int64_t task_milli) {
  submissions::submission made;
  made.steps.resize(1);
  made.steps[0].task_count = tasks;
  made.steps[0].demand.processors_milli = task_milli;
  return made;
}

/// How many of the draws chose each of two shards.
std::vector<std::uint64_t> Draw(
    const std::map<std::uint32_t, shard_room>& rooms,
    const submissions::submission& offered) {
  std::vector<std::uint64_t> chosen(2);
  for (std::uint64_t i = 0; i < kDraws; ++i)
    ++chosen.at(ChooseShard(rooms, 2, offered, i * 7'919'777));
  return chosen;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(shard_room_suite)

BOOST_AUTO_TEST_CASE(PiecesSmallerThanATaskAreOfNoUse) {
  BOOST_TEST(UsableMilli(RoomWith(3), 3200) == 0);
  BOOST_TEST(UsableMilli(RoomWith(4), 3200) == 32'000);
  BOOST_TEST(UsableMilli(RoomWith(7), 3200) == 64'000);
  BOOST_TEST(UsableMilli(RoomWith(3), 0) == 30'000);
}

BOOST_AUTO_TEST_CASE(WhatWasAssignedSinceIsNotFree) {
  shard_room room = RoomWith(4);
  room.assigned_milli = 20'000;
  BOOST_TEST(UsableMilli(room, 3200) == 12'000);
  room.assigned_milli = 50'000;
  BOOST_TEST(UsableMilli(room, 3200) == 0);
}

BOOST_AUTO_TEST_CASE(AnUrgentSubmissionGoesWhereItsTasksFit) {
  const auto chosen =
      Draw({{0, RoomWith(3)}, {1, RoomWith(4)}}, Urgent(13, 3200));
  BOOST_TEST(chosen[0] == 0u);
  BOOST_TEST(chosen[1] == kDraws);
}

BOOST_AUTO_TEST_CASE(WhereNothingFitsAllFreeProcessorsCount) {
  const auto chosen =
      Draw({{0, RoomWith(3)}, {1, RoomWith(1)}}, Urgent(13, 3200));
  BOOST_TEST(chosen[0] > chosen[1]);
  BOOST_TEST(chosen[1] > 0u);
}

BOOST_AUTO_TEST_CASE(AShardWhoseRoomIsNotKnownGetsItsPart) {
  // Before its owner has heard of any worker, a shard has no capacity.
  const auto chosen =
      Draw({{0, shard_room()}, {1, RoomWith(16)}}, Urgent(13, 3200));
  BOOST_TEST(chosen[0] > kDraws / 3);
  BOOST_TEST(chosen[1] > kDraws / 3);
}

BOOST_AUTO_TEST_CASE(BestEffortWorkGoesToFullShardsToo) {
  submissions::submission batch = Urgent(40, 1800);
  batch.steps[0].best_effort = true;
  const auto chosen = Draw({{0, RoomWith(0)}, {1, RoomWith(1)}}, batch);
  BOOST_TEST(chosen[0] > 0u);
  BOOST_TEST(chosen[1] > chosen[0]);
}

BOOST_AUTO_TEST_CASE(AMoveNeedsRoomForTwiceTheTasks) {
  const std::map<std::uint32_t, shard_room> rooms = {
      {0, RoomWith(0)}, {1, RoomWith(4)}, {2, RoomWith(3)}};
  BOOST_TEST((ShardToMoveTo(rooms, 0, Urgent(5, 3200)) == 1u));
  BOOST_TEST(!ShardToMoveTo(rooms, 0, Urgent(6, 3200)).has_value());
  BOOST_TEST(!ShardToMoveTo(rooms, 1, Urgent(5, 3200)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::runtime
