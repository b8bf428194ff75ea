// Settings and rosters: what is read, and every kind of mistake with its place.
#include <gtest/gtest.h>

#include "config/settings.hpp"

namespace gorsemount::config {
namespace {

std::vector<std::string> faults_of(const std::string& text) {
  std::vector<hcl::Fault> faults;
  static_cast<void>(hcl::parse(text, "f", faults));
  std::vector<std::string> out;
  for (const auto& f : faults) out.push_back(f.text());
  return out;
}

TEST(Hcl, ReadsEveryKindOfValue) {
  std::vector<hcl::Fault> faults;
  const auto body = hcl::parse(
      "a = 1.5e2 # one\nb = \"x\\n\\u00e9 $${y}\" // two\nc = [1, true, null,\n  \"z\", ]\n"
      "d = { k = 1, \"l m\": [2]\n n = false }\ne = <<-EOT\n    in\n      deeper\n  EOT\n/* three\n*/ t "
      "\"l1\" l2 {\n  f = -3\n}\n",
      "f", faults);
  ASSERT_TRUE(faults.empty()) << faults[0].text();
  ASSERT_EQ(body.attributes.size(), 5U);
  EXPECT_EQ(std::get<double>(body.attributes[0].value.data), 150);
  EXPECT_EQ(std::get<std::string>(body.attributes[1].value.data), "x\n\xc3\xa9 ${y}");
  EXPECT_EQ(std::get<hcl::List>(body.attributes[2].value.data).items.size(), 4U);
  const auto& members = std::get<hcl::Object>(body.attributes[3].value.data).members;
  ASSERT_EQ(members.size(), 3U);
  EXPECT_EQ(members[1].first, "l m");
  EXPECT_EQ(std::get<std::string>(body.attributes[4].value.data), "in\n  deeper\n");
  ASSERT_EQ(body.blocks.size(), 1U);
  EXPECT_EQ(body.blocks[0].labels[1].first, "l2");
  EXPECT_EQ(body.blocks[0].body.attributes[0].at.line, 13U);
}

TEST(Hcl, NamesEveryFaultOfAFileWithItsPlace) {
  const auto faults = faults_of("a = \nb = \"open\nc = \"\\q\"\nd = 1 2\ne = 3\n");
  ASSERT_EQ(faults.size(), 4U);
  EXPECT_EQ(faults[0].substr(0, 6), "f:1:5:");
  EXPECT_NE(faults[0].find("expected a value"), std::string::npos);
  EXPECT_EQ(faults[1].substr(0, 4), "f:2:");
  EXPECT_NE(faults[2].find("unknown escape"), std::string::npos);
  EXPECT_EQ(faults[3].substr(0, 4), "f:4:");
}

TEST(Hcl, HostileTextsEndInAFault) {
  EXPECT_EQ(faults_of("a = " + std::string(100000, '[')).size(), 1U);
  EXPECT_NE(faults_of("a = " + std::string(100000, '[')).at(0).find("32 deep"), std::string::npos);
  std::string blocks;
  for (int k = 0; k < 100; ++k) blocks += "b {\n";
  EXPECT_EQ(faults_of(blocks).size(), 1U);
  EXPECT_EQ(faults_of(std::string(5U << 20U, ' ')).size(), 1U);
  for (const char* text : {"x {", "x = {", "x = <<E\nno end\n", "/* open", "= 1", "x = \"\\ud800\"",
                           "x = \"${a}\"", "}", "\x01"})
    EXPECT_FALSE(faults_of(text).empty()) << text;
}

const std::string kGood =
    "coordinator { zone = \"a\" }\nzone \"a\" {}\nzone \"b\" {}\n"
    "operation \"read\" {\n  effect = \"idempotent\"\n  latency_objective = \"1s\"\n  integration_timeout = "
    "\"3s\"\n}\n"
    "dns { origin = \"x.test\" }\nroster { file = \"r.hcl\" }\n";

std::vector<std::string> settings_faults(const std::string& text) {
  Findings findings;
  static_cast<void>(read_settings(text, "f", findings));
  std::vector<std::string> out;
  for (const auto& f : findings.faults) out.push_back(f.text());
  return out;
}

TEST(Settings, GoodOnesAreReadAndExplained) {
  Findings findings;
  const auto s = read_settings(kGood, "f", findings);
  ASSERT_TRUE(findings.faults.empty()) << findings.faults[0].text();
  EXPECT_EQ(s.core.zones.size(), 2U);
  EXPECT_EQ(s.core.groups.back().name, "elsewhere");
  bool set = false, left = false;
  for (const auto& v : findings.values) {
    set = set || (v.path == "dns.origin" && v.source == "f:9");
    left = left || (v.path == "rules.drain_grace" && v.value == "5s" && v.source == "default");
  }
  EXPECT_TRUE(set && left);
  EXPECT_EQ(non_reloadable_settings(s), non_reloadable_settings(s));
}

TEST(Settings, EachMistakeIsNamedWithWhatWasExpected) {
  struct Case {
    std::string more, expected;
  };
  const std::vector<Case> cases{
      {"ruls {}\n", "unknown block 'ruls'; did you mean 'rules'?"},
      {"rules { drain_grase = \"5s\" }\n", "did you mean 'drain_grace'?"},
      {"rules { drain_grace = 5 }\n", "must be a span of time such as \"250ms\" or \"4s\", not a number"},
      {"rules { drain_grace = \"5 parsecs\" }\n", "expected a span of time"},
      {"rules { cold_from = 3 }\n", "'cold_from' is 3; expected a number from 0.01 to 1"},
      {"rules { use_after = \"7s\" }\n", "leaves nothing of 'drain_grace'"},
      {"channel { messages_most = 1.5 }\n", "expected a whole number"},
      {"group \"g\" { zone = \"aa\" sources = [] }\n", "expected the end of the line"},
      {"group \"g\" {\n zone = \"bb\"\n sources = [\"127.0.0.1/8\"]\n}\n", "no bits behind its length"},
      {"group \"g\" {\n zone = \"bb\"\n sources = [\"10.0.0.0/8\"]\n}\n", "did you mean 'b'?"},
      {"group \"g\" {\n zone = \"b\"\n}\n", "has no 'sources'"},
      {"group \"g\" {\n zone = \"a\"\n sources = [\"10.0.0.0/8\"]\n}\ngroup \"h\" {\n zone = \"a\"\n sources "
       "= [\"10.0.0.0/8\"]\n}\n",
       "is in group \"g\" too"},
      {"zone \"a\" {}\n", "zone \"a\" is there twice"},
      {"zone {}\n", "takes 1 label(s), not 0"},
      {"hears { load_path = \"load\" }\n", "begins with '/'"},
      {"log { level = \"loud\" }\n", "known here: debug, error, info, warning"},
      {"forwarder \"f\" {\n zone = \"a\"\n runtime = \"nowhere\"\n}\n",
       "expected an address and a port, or \"unix:\""},
      {"forwarder \"f\" {\n zone = \"a\"\n runtime = \"unix:/s\"\n}\nforwarder \"g\" {\n zone = \"a\"\n "
       "runtime = \"unix:/s\"\n}\n",
       "is the socket of \"f\" too"},
      {"operators { mode = \"0666\" }\n", "not writable by everyone"},
      {"operators { tcp = \"10.0.0.1:99\" }\n", "on a loopback address"},
      {"operators { tcp = \"127.0.0.1:99\" }\n", "needs a 'token_file'"},
      {"operation \"w_w\" {\n effect = \"idempotent\"\n latency_objective = \"1s\"\n integration_timeout = "
       "\"3s\"\n}\n",
       "letters, digits and hyphens"},
      {"operation \"w\" {\n effect = \"idempotent\"\n latency_objective = \"4s\"\n integration_timeout = "
       "\"3s\"\n}\n",
       "shorter than 'latency_objective'"},
  };
  for (const auto& c : cases) {
    const auto faults = settings_faults(kGood + c.more);
    ASSERT_FALSE(faults.empty()) << c.more;
    std::string all;
    for (const auto& f : faults) all += f + "\n";
    EXPECT_NE(all.find(c.expected), std::string::npos) << all;
    EXPECT_EQ(all.substr(0, 3), "f:1") << all;
  }
  EXPECT_EQ(settings_faults("").size(), 4U) << "everything that is missing, at once";
}

TEST(Roster, IsReadOrRefusedWhole) {
  Findings findings;
  const auto core = read_settings(kGood, "f", findings).core;
  const std::string one = "backend \"w1\" {\n  zone = \"a\"\n  address = \"127.0.0.1:9000\"\n}\n";
  const auto good = read_roster(one +
                                    "backend \"w2\" {\n zone = \"b\"\n address = \"[::1]:9000\"\n state = "
                                    "\"draining\"\n operations = [\"read\"]\n}\n",
                                "r", core);
  ASSERT_TRUE(good.faults.empty()) << good.faults[0].text();
  ASSERT_EQ(good.entries.size(), 2U);
  EXPECT_EQ(good.entries[1].availability, Availability::draining);
  EXPECT_EQ(good.entries[1].operations, 1U);
  for (const auto& [text, expected] : std::vector<std::pair<std::string, std::string>>{
           {"", "names no backend"},
           {one + one, "is there twice"},
           {one + "backend \"w2\" {\n zone = \"a\"\n address = \"127.0.0.1:9000\"\n}\n",
            "is the address of \"w1\" too"},
           {"backend \"w1\" {\n zone = \"a\"\n address = \"localhost:9000\"\n}\n",
            "expected an address and a port"},
           {"backend \"w1\" {\n zone = \"a\"\n address = \"127.0.0.1:9000\"\n operations = [\"reed\"]\n}\n",
            "did you mean 'read'?"},
           {"backend \"w1\" {\n zone = \"a\"\n address = \"127.0.0.1:9000\"\n weight = 0\n}\n",
            "'weight' is 0"},
           {one.substr(0, 30), "expected"}}) {
    const auto bad = read_roster(text, "r", core);
    ASSERT_FALSE(bad.faults.empty()) << text;
    std::string all;
    for (const auto& f : bad.faults) all += f.text() + "\n";
    EXPECT_NE(all.find(expected), std::string::npos) << all;
  }
}

}  // namespace
}  // namespace gorsemount::config
