//! What the disk keeps, and that damage never passes for emptiness.
use control_chain::core::Record;
use control_chain::view::CoreAt;
use control_core::disk::{SledStore, Store, open};
use std::path::{Path, PathBuf};

fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("coursebend-disk-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    path
}

fn cores() -> Vec<CoreAt> {
    (1..=4).map(|id| CoreAt { id, chain: "".into(), node: "".into(), http: "".into() }).collect()
}

fn entries(from: u64, to: u64) -> Vec<Record> {
    (from..=to).map(|seq| Record::Entry(seq, format!("entry {seq}").into_bytes().into())).collect()
}

fn filled(path: &Path, upto: u64) -> SledStore {
    let (mut store, _) = open(path, Some(1), &cores()).unwrap();
    store.keep(&entries(1, upto)).unwrap();
    store.sync().unwrap();
    store
}

#[test]
fn what_was_synced_is_found_again() {
    let path = folder("again");
    let mut store = filled(&path, 30);
    store.keep(&[Record::Capture(20, b"state".to_vec().into())]).unwrap();
    store.keep(&entries(31, 33)).unwrap();
    store.sync().unwrap();
    drop(store);
    let (_, found) = open(&path, None, &cores()).unwrap();
    assert_eq!(found.meta.unwrap().incarnation, 1);
    assert_eq!(found.capture, Some((20, b"state".to_vec())));
    assert_eq!(found.entries.iter().map(|(seq, _)| *seq).collect::<Vec<_>>(), (21..=33).collect::<Vec<_>>());
    assert!(open(&path, Some(1), &cores()).is_err(), "a used disk must not be founded again");
    std::fs::remove_dir_all(path).unwrap();
}

#[test]
fn an_empty_disk_is_another_incarnation() {
    let path = folder("empty");
    let (store, found) = open(&path, None, &cores()).unwrap();
    let first = found.meta.unwrap();
    assert!(first.incarnation > 1 && first.view.n == 0 && first.full == 0);
    drop(store);
    let (_, again) = open(&path, None, &cores()).unwrap();
    assert_eq!(again.meta.unwrap().incarnation, first.incarnation);
    std::fs::remove_dir_all(path).unwrap();
}

#[test]
fn damage_is_refused_and_said() {
    type Damage = fn(&Path);
    let kinds: [(&str, Damage); 5] = [
        ("state gone", |p| std::fs::remove_dir_all(p.join("state")).unwrap()),
        ("mark torn", |p| std::fs::write(p.join("mark"), b"torn").unwrap()),
        ("mark empty", |p| std::fs::write(p.join("mark"), b"").unwrap()),
        ("database emptied", |p| std::fs::write(p.join("state/db"), b"").unwrap()),
        ("database overwritten from its middle on", |p| {
            let mut bytes = std::fs::read(p.join("state/db")).unwrap();
            let written = bytes.iter().rposition(|b| *b != 0).unwrap();
            bytes[written / 2..].fill(0);
            std::fs::write(p.join("state/db"), bytes).unwrap();
        }),
    ];
    for (name, damage) in kinds {
        let path = folder("damage");
        drop(filled(&path, 500));
        damage(&path);
        match open(&path, None, &cores()) {
            Ok((_, found)) => panic!("{name}: started with {} entries", found.entries.len()),
            Err(what) => assert!(what.contains("damaged"), "{name}: {what}"),
        }
        let _ = std::fs::remove_dir_all(path);
    }
}

#[test]
fn a_full_disk_fails_before_it_is_full_and_old_entries_give_room() {
    let path = folder("full");
    let mut store = filled(&path, 10);
    store.spare_bytes = u64::MAX;
    assert_eq!(store.keep(&entries(11, 11)).unwrap_err().kind(), std::io::ErrorKind::StorageFull);
    store.spare_bytes = 0;
    let big = vec![b'x'; 300];
    for round in 0..40u64 {
        let first = 11 + round * 500;
        let records: Vec<Record> = (first..first + 500).map(|seq| Record::Entry(seq, big.clone().into())).collect();
        store.keep(&records).unwrap();
        store.keep(&[Record::Capture(first + 499, vec![b's'; 40_000].into())]).unwrap();
        store.sync().unwrap();
    }
    let size = |folder: &Path| -> u64 {
        let each = std::fs::read_dir(folder).into_iter().flatten().flatten();
        each.map(|e| e.metadata().map_or(0, |m| m.len())).sum()
    };
    let bytes = size(&path.join("state")) + size(&path.join("state/blobs"));
    println!("20000 entries of 300 bytes and 40 captures of 40 kB leave {bytes} bytes");
    assert!(bytes < 32 << 20, "{bytes}");
    std::fs::remove_dir_all(path).unwrap();
}

/// Captures too large for sled's log become files of their own, which it removes again while we sync.
#[test]
fn blobs_may_go_while_they_are_synced() {
    let path = folder("blobs");
    std::fs::create_dir_all(&path).unwrap();
    let (stop, stopped) = std::sync::mpsc::channel::<()>();
    let blobs = path.clone();
    let busy = std::thread::spawn(move || {
        for number in 0u64.. {
            let blob = blobs.join(number.to_string());
            std::fs::write(&blob, b"x").unwrap();
            std::fs::remove_file(blob).unwrap();
            if stopped.try_recv().is_ok() {
                return;
            }
        }
    });
    let synced: Result<Vec<()>, _> = (0..3000).map(|_| control_core::disk::sync_blobs(&path)).collect();
    stop.send(()).unwrap();
    busy.join().unwrap();
    std::fs::remove_dir_all(path).unwrap();
    synced.unwrap();
}
