#include "daemon/settings.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdlib>

using namespace chestnutsill;

namespace {

std::vector<const char *> complete()
{
    return {"--name=entry-1",
            "--zone=za",
            "--listen=127.0.0.1:1",
            "--admin-listen=127.0.0.1:2",
            "--peer-listen=127.0.0.1:3",
            "--config-service=127.0.0.1:4",
            "--instance-list=127.0.0.1:5"};
}

bool names(const SettingsResult &result, const std::string &setting)
{
    return std::any_of(result.errors.begin(), result.errors.end(),
                       [&](const std::string &error) { return error.find("--" + setting) == 0; });
}

} // namespace

TEST_CASE("settings: complete ones are read, with defaults for the rest")
{
    const auto result = readSettings(complete());
    REQUIRE(result.settings);
    CHECK(result.settings->name == "entry-1");
    CHECK(result.settings->threads == 2);
    CHECK(result.settings->addressTtl == std::chrono::milliseconds(10000));
}

TEST_CASE("settings: everything that is missing, unknown, out of range or contradictory is named at once")
{
    const auto result = readSettings(
        std::vector<const char *>{"--name=entry-1", "--listen=nowhere", "--threads=0", "--hold-ms=5000",
                                  "--drain-ms=100", "--log-level=loud", "--colour=blue"});
    CHECK_FALSE(result.settings);
    for (const char *setting : {"zone", "listen", "admin-listen", "peer-listen", "config-service",
                                "instance-list", "threads", "drain-ms", "log-level", "colour"}) {
        const std::string name = setting;
        CAPTURE(name);
        CHECK(names(result, name));
    }
    CHECK_FALSE(names(result, "name"));
}

TEST_CASE("settings: a flag goes before a variable, a variable before the default")
{
    ::setenv("CHESTNUTSILL_THREADS", "5", 1);
    auto arguments = complete();
    CHECK(readSettings(arguments).settings->threads == 5);
    arguments.push_back("--threads=7");
    CHECK(readSettings(arguments).settings->threads == 7);
    ::unsetenv("CHESTNUTSILL_THREADS");
}

TEST_CASE("settings: help and version are printed in place of starting")
{
    for (const char *word : {"--help", "--version"}) {
        const auto result = readSettings(std::vector<const char *>{word});
        CHECK_FALSE(result.settings);
        CHECK(result.errors.empty());
        CHECK_FALSE(result.output.empty());
    }
}
