// The wire adapter on small hand-written lines.
#include "helpers.hpp"
#include "simhost/host.hpp"

namespace gorsemount::simhost {

namespace {

const char* const kConfig =
    R"({"discovery":"automatic","family-info":{"backlog":1000,"intake-per-s":100,"level-kind":"share","messages-most":0,"per-message":4,"proxies":2,)"
    R"("push-rate":500,"report-every-s":1,"try-aims":1.2,"unserved-max-s":2,"update-window-s":10,"usual-how":1},)"
    R"("lanes":[{"effect":"read_like","goal-time-s":1,"worth":1}],"fleet-size":2,"limits":{"keepalive-s":15},)"
    R"("rules":{"cold-from":0.2,"cold-s":15,"drain-grace-s":2,"tip-multiple":4},"zones":["a"],"unheard-of":7})";

std::string batch(const std::string& items) { return R"({"sim-time-s":5,"items":[)" + items + "]}"; }
std::string start(int i) {
  return R"({"t":"provision","i":)" + std::to_string(i) + R"(,"rng-seed":1,"config":)" + kConfig + "}";
}
std::string rows(int backend) {
  return R"({"t":"snapshot-rows","bank":0,"members-list":[{"backend":)" + std::to_string(backend) +
         R"(,"site":0,"type":0,"pod":0,"availability":"ready","w":1,"boot-time-s":null}]})";
}
std::string list(int i) {
  return R"({"t":"registry","i":)" + std::to_string(i) + R"(,"scope":"cached","version":1,"bank":0},)" +
         R"({"t":"checked-in","i":)" + std::to_string(i) + R"(,"client-lb":3,"site":0,"w":2.5,"on":true})";
}

}  // namespace

TEST(Adapter, NumberedListsResolveInEventOrderWithinABatch) {
  Host host;
  const auto reply = Json::parse(host.process_batch(
      batch(start(0) + "," + start(1) + "," + rows(11) + "," + list(0) + "," + rows(12) + "," + list(1))));
  std::map<int, int> lines;
  for (const auto& order : reply["output"])
    if (order["t"] == "set-weight") lines[order["i"]] = order["backend"];
  EXPECT_EQ(lines, (std::map<int, int>{{0, 11}, {1, 12}}));
}

TEST(Adapter, CrashAndStartInOneBatchLeaveAFreshInstance) {
  Host host;
  (void)host.process_batch(batch(start(0) + "," + rows(11) + "," + list(0)));
  const auto reply = Json::parse(
      host.process_batch(batch(R"({"t":"crash-now","i":0},)" + start(0) + "," + rows(12) + "," + list(0))));
  for (const auto& order : reply["output"])
    if (order["t"] == "set-weight") {
      EXPECT_EQ(order["backend"], 12);
    }
}

TEST(Adapter, UnknownKindsKeysAndFieldsAreSkipped) {
  Host host;
  (void)host.process_batch(batch(start(0) + "," + rows(11) + "," + list(0)));
  EXPECT_EQ(host.process_batch(batch(R"({"t":"never-heard-of","i":0,"x":1})")), R"({"output":[]})");
  EXPECT_NO_THROW((void)host.process_batch(batch(
      R"({"t":"digest","i":0,"site":0,"backend":11,"many":1,"lost":0,"cost-time-s":0.1,"elapsed-s":1,"new":1,"load":{"odd":3,"cpu":null}})")));
}

TEST(Adapter, BadInputSaysWhatAndWhere) {
  const auto message = [](const std::string& line) -> std::string {
    Host host;
    (void)host.process_batch(batch(start(0) + "," + rows(11) + "," + list(0)));
    try {
      (void)host.process_batch(line);
    } catch (const std::exception& failure) {
      return failure.what();
    }
    return "nothing";
  };
  EXPECT_NE(message("{\"sim-time-s\":").find("parse error"), std::string::npos);
  EXPECT_EQ(message(R"({"items":[]})"), "batch: 'sim-time-s' is missing");
  EXPECT_EQ(message(batch(R"({"t":"checked-in","i":0,"on":true})")),
            "items[0] (checked-in): 'client-lb' is missing");
  EXPECT_EQ(message(batch(R"({"t":"checked-in","i":0,"client-lb":-1,"on":true})")),
            "items[0] (checked-in): 'client-lb' is not a whole number from 0");
  EXPECT_EQ(message(batch(R"({"t":"registry","i":0,"scope":"odd","bank":0})")),
            "items[0] (registry): 'scope' is not known: odd");
  EXPECT_EQ(message(batch("7")), "items[0]: is not an object");
}

}  // namespace gorsemount::simhost
