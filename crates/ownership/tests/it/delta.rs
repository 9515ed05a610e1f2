//! A delta update gives the same result as an update in full.

use model::{
    DomainName, FencingToken, Incarnation, MapVersion, ServerName, ServiceName, SliceId, SliceKey,
    Term, VmName,
};
use ownership::{
    DomainMap, HomeEntry, HomesTable, HomesUpdate, MapStamp, MapUpdate, OwnerEntry, SlicePhase,
    VmId, map_digest,
};
use proptest::prelude::*;

/// For each of eight slices its version, owner and whether it is open; `None` if it is absent.
type Slices = Vec<Option<(u64, u8, bool)>>;

fn key(idx: usize) -> SliceKey {
    let slice = SliceId::all(3).nth(idx).unwrap();
    SliceKey { service: ServiceName::try_from("queue").unwrap(), slice }
}

fn map(version: u64, slices: &Slices) -> DomainMap {
    let vm = VmId { name: VmName::try_from("a").unwrap(), incarnation: Incarnation(1) };
    let entry = |(version, owner, is_open): (u64, u8, bool)| OwnerEntry {
        owner: Some(ServerName::try_from(format!("s{owner}").as_str()).unwrap()),
        token: FencingToken { epoch: 1, term: Term(1), version: MapVersion(version) },
        previous: Default::default(),
        phase: if is_open { SlicePhase::Open } else { SlicePhase::Moving },
    };
    let entries = slices.iter().enumerate().filter_map(|(idx, it)| Some((key(idx), entry((*it)?))));
    DomainMap {
        domain: DomainName::try_from("d0").unwrap(),
        stamp: MapStamp { term: Term(1), version: MapVersion(version) },
        planner: vm.clone(),
        witnesses: [vm].into_iter().collect(),
        joint_witnesses: Default::default(),
        entries: entries.collect(),
    }
}

fn slices() -> impl Strategy<Value = Slices> {
    let slice = prop::option::of((0..5u64, 0..3u8, any::<bool>()));
    prop::collection::vec(slice, 8)
}

fn homes(revision: u64, slices: &Slices) -> HomesTable {
    let entry = |(epoch, domain, _): (u64, u8, bool)| HomeEntry {
        domain: DomainName::try_from(format!("d{domain}").as_str()).unwrap(),
        epoch,
    };
    let entries = slices.iter().enumerate().filter_map(|(idx, it)| Some((key(idx), entry((*it)?))));
    HomesTable { revision, attempt: revision, entries: entries.collect() }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(8),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_map_delta_gives_the_new_map(a in slices(), b in slices()) {
        let (base, target) = (map(1, &a), map(2, &b));
        let resolved = MapUpdate::between(&base, &target).resolve(Some(&base));
        prop_assert_eq!(resolved.as_deref(), Some(&target));
    }

    #[test]
    fn a_delta_to_another_map_is_not_applied(a in slices(), b in slices(), c in slices()) {
        let (base, target, other) = (map(1, &a), map(2, &b), map(1, &c));
        let update = MapUpdate::between(&base, &target);
        let is_same = map_digest(&base) == map_digest(&other);
        prop_assert_eq!(update.resolve(Some(&other)).is_some(), is_same);
        prop_assert!(update.resolve(None).is_none());
    }

    #[test]
    fn a_homes_delta_gives_the_new_homes(a in slices(), b in slices()) {
        let (base, target) = (homes(1, &a), homes(2, &b));
        let update = HomesUpdate::between(&base, &target);
        prop_assert_eq!(update.clone().resolve(&base), Some(target.clone()));
        prop_assert_eq!(update.resolve(&target), None);
    }
}
