/** \file
 * Which demands need not be tried on workers.
 */

#include "UnmetDemands.h"

#include "CppUTest/TestHarness.h"

using namespace cicada;

TEST_GROUP(UnmetDemands) { UnmetDemands demands; };

TEST(UnmetDemands, aDemandThatIsNoLessInAnyResourceIsIncluded)
{
    demands.add("service", "", { 4000, 1000, 0 });
    CHECK(demands.includes("service", "", { 4000, 1000, 0 }));
    CHECK(demands.includes("service", "", { 5000, 1000, 1 }));
    CHECK_FALSE(demands.includes("service", "", { 5000, 999, 1 }));
    CHECK_FALSE(demands.includes("service", "", { 3999, 2000, 0 }));
}

TEST(UnmetDemands, servicesAndLabelsAreApart)
{
    demands.add("service", "label", { 1, 1, 0 });
    CHECK_FALSE(demands.includes("service", "", { 2, 2, 0 }));
    CHECK_FALSE(demands.includes("other", "label", { 2, 2, 0 }));
}

TEST(UnmetDemands, demandsOfDifferentShapeAreKeptBesideEachOther)
{
    demands.add("service", "", { 4000, 1000, 0 });
    demands.add("service", "", { 1000, 4000, 0 });
    demands.add("service", "", { 3000, 900, 0 });
    CHECK(demands.includes("service", "", { 3000, 900, 0 }));
    CHECK(demands.includes("service", "", { 1000, 4000, 0 }));
    CHECK_FALSE(demands.includes("service", "", { 1000, 3999, 0 }));
    demands.clear();
    CHECK_FALSE(demands.includes("service", "", { 9000, 9000, 0 }));
}
