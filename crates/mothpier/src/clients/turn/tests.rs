use super::{MAX_BYTES, MAX_COMMANDS, Turn};

#[test]
fn a_turn_ends_with_its_last_command_and_the_next_one_begins() {
    let mut turn = Turn::default();
    for _ in 0..2 {
        for _ in 1..MAX_COMMANDS {
            turn.add_command();
            assert!(!turn.take_end());
        }
        turn.add_command();
        assert!(turn.take_end());
    }
}

#[test]
fn a_turn_ends_with_its_last_byte() {
    let mut turn = Turn::default();
    turn.add_bytes(MAX_BYTES - 1);
    assert!(!turn.take_end());
    turn.add_bytes(1);
    assert!(turn.take_end());
    assert!(!turn.take_end());
}
