//! Sheets, homes and maps are never replaced by older ones, in whatever order they arrive.

use std::sync::Arc;

use model::{DomainName, Incarnation, MapVersion, MonoTime, SheetRevision, Term, VmName, WallTime};
use ownership::{
    DomainMap, DomainPlanner, HomesTable, LeaseTiming, MapStamp, PlannerConfig, PlannerEvent,
    RouterView, SheetDoc, VmId,
};
use proptest::prelude::*;

fn vm() -> VmId {
    VmId { name: VmName::try_from("a").unwrap(), incarnation: Incarnation(1) }
}

fn domain() -> DomainName {
    DomainName::try_from("d0").unwrap()
}

fn planner() -> DomainPlanner {
    let timing = LeaseTiming::default();
    DomainPlanner::new(PlannerConfig { id: vm(), domain: domain(), timing }, MonoTime::default())
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(9),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_planner_never_returns_to_an_older_sheet_or_homes_table(
        arrivals in prop::collection::vec((1..20u64, any::<bool>()), 1..30),
    ) {
        let mut planner = planner();
        let (mut newest_sheet, mut newest_homes) = (0, 0);
        for (revision, is_sheet) in arrivals {
            let event = match is_sheet {
                true => PlannerEvent::SheetLearned(SheetDoc {
                    revision: SheetRevision(revision),
                    sheet: Arc::default(),
                }),
                false => {
                    PlannerEvent::HomesLearned(HomesTable { revision, ..HomesTable::default() })
                }
            };
            let newest = if is_sheet { &mut newest_sheet } else { &mut newest_homes };
            *newest = revision.max(*newest);
            planner.handle(event, MonoTime::default(), WallTime(0));
            let held = planner.sheet().map_or(0, |it| it.revision.0);
            prop_assert_eq!((held, planner.homes().revision), (newest_sheet, newest_homes));
        }
    }

    #[test]
    fn a_router_never_returns_to_an_older_map(
        stamps in prop::collection::vec((1..4u64, 1..9u64), 1..30),
    ) {
        let mut view = RouterView::default();
        let mut newest = MapStamp::default();
        for (term, version) in stamps {
            let stamp = MapStamp { term: Term(term), version: MapVersion(version) };
            let map = DomainMap {
                domain: domain(),
                stamp,
                planner: vm(),
                witnesses: Default::default(),
                joint_witnesses: Default::default(),
                entries: Default::default(),
            };
            view.apply_map(&Arc::new(map));
            newest = newest.max(stamp);
            prop_assert_eq!(view.stamp(), newest);
        }
    }
}
